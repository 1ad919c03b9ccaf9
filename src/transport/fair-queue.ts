/** How long reports are answered at a stretch before the sockets are looked at again. */
const WORK_SLICE_MS = 5;
/** So many connections are taken in a row before the next stretch: about as much work, so neither waits for the other. */
const MAX_ACCEPTS_PER_ROUND = 16;
interface PendingRequest {
  isAlive: () => boolean;
  run: () => void;
}

/**
 * Requests that wait for their turn, the newest first, behind the connections that wait to be taken. After a start or a
 * take-over more machines report than can be answered in time. In their order every answer would come just after the
 * machine has given up and asked elsewhere, and none would be heard for as long as that goes on; the newest is the one
 * whose sender surely still listens. Between two stretches the sockets are read, so those that were given up are known
 * and cost nothing more. Node takes one connection each time it looks at the sockets: were reports answered meanwhile,
 * machines would wait longer to be taken than they wait for an answer.
 */
export class NewestFirstQueue {
  /** The first requests of their connections, and others. */
  private readonly firstRequests: PendingRequest[] = [];
  private readonly laterRequests: PendingRequest[] = [];
  private scheduled = false;
  private connectionAccepted = false;
  private acceptsInARow = 0;

  constructor(
    private readonly now: () => number,
    private readonly defer: (action: () => void) => void,
  ) {}

  /** A connection was taken: more may wait behind it. */
  onConnectionAccepted(): void {
    this.connectionAccepted = true;
    this.scheduleRound();
  }

  /** `first`: nothing was answered on this connection yet. Its sender has waited longest, whatever it has sent since. */
  add(isAlive: () => boolean, run: () => void, first = false): void {
    (first ? this.firstRequests : this.laterRequests).push({ isAlive, run });
    this.scheduleRound();
  }

  private scheduleRound(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.defer(() => this.runRound());
  }

  private runRound(): void {
    this.scheduled = false;
    if (this.connectionAccepted && ++this.acceptsInARow < MAX_ACCEPTS_PER_ROUND) {
      this.connectionAccepted = false;
      return this.scheduleRound();
    }
    this.connectionAccepted = false;
    this.acceptsInARow = 0;
    const until = this.now() + WORK_SLICE_MS;
    for (let next = this.next(); next; next = this.next()) {
      if (!next.isAlive()) continue;
      next.run();
      if (this.now() >= until) break;
    }
    if (this.firstRequests.length + this.laterRequests.length > 0) this.scheduleRound();
  }

  private next(): PendingRequest | undefined {
    return this.firstRequests.pop() ?? this.laterRequests.pop();
  }
}
