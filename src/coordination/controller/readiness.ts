/** Whether users should send their requests to this controller. */
import { type Clock } from '../../transport/clock';
import { type StateStoreClient } from '../../storage/state-store-client';

/** A state store that has not responded for this long counts as out of reach, for status messages to peers. */
export const STORE_RESPONSE_TIMEOUT_MS = 1500;
/** The same for readiness, which should not change with every short pause. */
const READY_STORE_SILENCE_MS = 3000;
const PEER_SILENCE_MS = 2500;

export interface ReadinessDependencies {
  peers: readonly string[];
  clock: Clock;
  stateStore: StateStoreClient;
  machineTypesKnown: () => boolean;
}

/** Weighs this controller's view of the state store against that of its peers. */
export class Readiness {
  private readonly peerStoreHealth = new Map<string, { storeReachable: boolean; at: number }>();

  constructor(private readonly deps: ReadinessDependencies) {}

  /** Notes what a peer says about its own connection to the state store. */
  recordPeerStatus(member: string, storeReachable: boolean, now: number): void {
    this.peerStoreHealth.set(member, { storeReachable, at: now });
  }

  /**
   * Not ready while the state store is out of reach for this controller and a peer reaches it, nor while neither the store
   * nor any peer is heard: then users are served sooner by another controller. Ready if the store is down for all, for
   * no other controller would do better.
   */
  ready(): boolean {
    const { peers, clock, stateStore, machineTypesKnown } = this.deps;
    if (!stateStore.replica.synced || !machineTypesKnown()) return false;
    if (stateStore.respondedWithin(READY_STORE_SILENCE_MS)) return true;
    const now = clock.steady();
    const heardPeers = peers
      .map((peer) => this.peerStoreHealth.get(peer))
      .filter((peer) => peer !== undefined && now - peer.at < PEER_SILENCE_MS);
    const isolated = heardPeers.length === 0 && peers.length > 0;
    return !isolated && !heardPeers.some((peer) => peer?.storeReachable);
  }
}
