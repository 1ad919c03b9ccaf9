/** Whether users should send their requests to this controller. */
import { type Clock } from '../../transport/clock';
import { type StateStoreClient } from '../../storage/state-store-client';

/**
 * A state store that has not responded for this long counts as unreachable in messages to peers and when lease extensions are
 * granted.
 */
export const STORE_RESPONSE_TIMEOUT_MS = 1500;
/** The corresponding limit for readiness. It is longer, because readiness should not change with every short pause. */
const READINESS_STORE_TIMEOUT_MS = 3000;
const MAX_PEER_STATUS_AGE_MS = 2500;

export interface ReadinessDependencies {
  peers: readonly string[];
  clock: Clock;
  stateStore: StateStoreClient;
  machineTypesKnown: () => boolean;
}

/** Compares this controller's connection to the state store with those of its peers. */
export class Readiness {
  private readonly peerStoreHealth = new Map<string, { storeReachable: boolean; at: number }>();

  constructor(private readonly deps: ReadinessDependencies) {}

  /** Records what a peer reports about its own connection to the state store. */
  recordPeerStatus(member: string, storeReachable: boolean, now: number): void {
    this.peerStoreHealth.set(member, { storeReachable, at: now });
  }

  /**
   * False while the state store is unreachable for this controller but reachable for a peer, and while this controller
   * receives nothing from the store or any peer: another controller then serves users sooner. True if the store is
   * unreachable for all, because no other controller would serve them better. False without a complete replica or without
   * machine types.
   */
  ready(): boolean {
    const { peers, clock, stateStore, machineTypesKnown } = this.deps;
    if (!stateStore.replica.synced || !machineTypesKnown()) return false;
    if (stateStore.respondedWithin(READINESS_STORE_TIMEOUT_MS)) return true;
    const now = clock.steady();
    const recentPeers = peers
      .map((peer) => this.peerStoreHealth.get(peer))
      .filter((peer) => peer !== undefined && now - peer.at < MAX_PEER_STATUS_AGE_MS);
    const isolated = recentPeers.length === 0 && peers.length > 0;
    return !isolated && !recentPeers.some((peer) => peer?.storeReachable);
  }
}
