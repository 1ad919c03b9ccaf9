/** How long reports are answered at a stretch before the sockets are looked at again. */
const SLICE_MS = 5;
/** So many connections are taken in a row before the next stretch: about as much work, so neither waits for the other. */
const MOST_AT_ONCE = 16;
interface Waiting {
  alive: () => boolean;
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
  private readonly firsts: Waiting[] = [];
  private readonly others: Waiting[] = [];
  private scheduled = false;
  private connected = false;
  private inARow = 0;

  constructor(
    private readonly now: () => number,
    private readonly soon: (action: () => void) => void,
  ) {}

  /** A connection was taken: more may wait behind it. */
  arrived(): void {
    this.connected = true;
    this.schedule();
  }

  /** `first`: nothing was answered on this connection yet. Its sender has waited longest, whatever it has sent since. */
  add(alive: () => boolean, run: () => void, first = false): void {
    (first ? this.firsts : this.others).push({ alive, run });
    this.schedule();
  }

  private schedule(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.soon(() => this.work());
  }

  private work(): void {
    this.scheduled = false;
    if (this.connected && ++this.inARow < MOST_AT_ONCE) {
      this.connected = false;
      return this.schedule();
    }
    this.connected = false;
    this.inARow = 0;
    const until = this.now() + SLICE_MS;
    for (let next = this.next(); next; next = this.next()) {
      if (!next.alive()) continue;
      next.run();
      if (this.now() >= until) break;
    }
    if (this.firsts.length + this.others.length > 0) this.schedule();
  }

  private next(): Waiting | undefined {
    return this.firsts.pop() ?? this.others.pop();
  }
}
