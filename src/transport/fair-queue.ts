/** How long requests are answered at a stretch before the sockets are read again. */
const WORK_SLICE_MS = 5;
/** So many connections are accepted in a row before the next stretch: about as much work, so neither waits for the other. */
const MAX_ACCEPTS_PER_ROUND = 16;

interface PendingRequest {
  /** Whether its sender still waits for the response. */
  isAlive: () => boolean;
  run: () => void;
}

/**
 * Requests that wait for their turn, the newest first, behind the connections that wait to be accepted.
 *
 * After a start or a failover more workers send heartbeats than can be answered in time. First in, first out, every response
 * would come just after its sender has given up and asked elsewhere, and none would arrive for as long as that goes on; the
 * newest request is the one whose sender certainly still listens. Between two stretches of work the sockets are read, so
 * requests that were given up are recognised and cost nothing more. Node accepts one connection each time it polls the
 * sockets: were requests answered meanwhile, workers would wait longer to be accepted than they wait for a response.
 */
export class NewestFirstQueue {
  /** The first requests of their connections. */
  private readonly firstRequests: PendingRequest[] = [];
  private readonly laterRequests: PendingRequest[] = [];
  private scheduled = false;
  private connectionAccepted = false;
  private acceptsInARow = 0;

  /** `now`: steady milliseconds. `defer` runs an action after the sockets have been read. */
  constructor(
    private readonly now: () => number,
    private readonly defer: (action: () => void) => void,
  ) {}

  /** A connection was accepted: more may wait behind it. */
  onConnectionAccepted(): void {
    this.connectionAccepted = true;
    this.scheduleRound();
  }

  /**
   * Adds a request. `first`: nothing was answered on this connection yet. Its sender has waited longest, whatever it has
   * sent since, so it goes before the others.
   */
  add(isAlive: () => boolean, run: () => void, first = false): void {
    const queue = first ? this.firstRequests : this.laterRequests;
    queue.push({ isAlive, run });
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
    this.runForASlice();
    if (this.firstRequests.length + this.laterRequests.length > 0) this.scheduleRound();
  }

  private runForASlice(): void {
    const sliceEnd = this.now() + WORK_SLICE_MS;
    for (let request = this.takeNewest(); request; request = this.takeNewest()) {
      if (!request.isAlive()) continue;
      request.run();
      if (this.now() >= sliceEnd) break;
    }
  }

  private takeNewest(): PendingRequest | undefined {
    return this.firstRequests.pop() ?? this.laterRequests.pop();
  }
}
