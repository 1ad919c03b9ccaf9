/** How long requests are answered before the sockets are read again. */
const WORK_SLICE_MS = 5;
/**
 * Connections accepted in a row before the next slice. Accepting them takes about as long as a slice, so neither accepting nor
 * answering has to wait for long.
 */
const MAX_CONSECUTIVE_ACCEPTS = 16;

interface PendingRequest {
  /** Whether the sender still waits for the response. */
  isAlive: () => boolean;
  run: () => void;
}

/**
 * Queue of requests that are answered newest first, after the connections that wait to be accepted.
 *
 * After a start or a failover more workers send heartbeats than can be answered in time. In first-in, first-out order every
 * response would come just after its sender has given up and asked another controller, so none would be received for as long
 * as the overload lasts. The sender of the newest request is the one that is certainly still waiting. The sockets are read
 * between two slices of work, so abandoned requests are recognised and cost nothing more. Node accepts one connection each
 * time it polls the sockets: if requests were answered in between, workers would wait longer to be accepted than they wait
 * for a response.
 */
export class NewestFirstQueue {
  /** Requests that are the first of their connections. */
  private readonly firstRequests: PendingRequest[] = [];
  private readonly laterRequests: PendingRequest[] = [];
  private scheduled = false;
  private connectionAccepted = false;
  private consecutiveAccepts = 0;

  /** `now` returns steady milliseconds. `defer` runs an action after the sockets have been read. */
  constructor(
    private readonly now: () => number,
    private readonly defer: (action: () => void) => void,
  ) {}

  /** Notes that a connection was accepted; further connections that wait are accepted before requests are answered. */
  onConnectionAccepted(): void {
    this.connectionAccepted = true;
    this.scheduleRound();
  }

  /**
   * Adds a request. `first` means that it is the first request added for its connection. Its sender has then waited longest,
   * however new the request itself is, so the request goes before the others.
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
    if (this.connectionAccepted && ++this.consecutiveAccepts < MAX_CONSECUTIVE_ACCEPTS) {
      this.connectionAccepted = false;
      return this.scheduleRound();
    }
    this.connectionAccepted = false;
    this.consecutiveAccepts = 0;
    this.runSlice();
    if (this.firstRequests.length + this.laterRequests.length > 0) this.scheduleRound();
  }

  private runSlice(): void {
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
