import { Subject } from 'rxjs';

/**
 * An actor owns its state; others reach it by `tell` alone. Messages are handled one at a time, in order:
 * one told while another is being handled waits for its turn.
 */
export abstract class Actor<M> {
  private readonly mailbox = new Subject<M>();
  private readonly pending: M[] = [];
  private draining = false;

  protected constructor(private readonly onFailure: (error: unknown) => void) {
    this.mailbox.subscribe((message) => {
      this.pending.push(message);
      if (!this.draining) this.drain();
    });
  }

  send(message: M): void {
    this.mailbox.next(message);
  }

  protected abstract receive(message: M): void;

  private drain(): void {
    this.draining = true;
    for (let next = this.pending.shift(); next !== undefined; next = this.pending.shift()) {
      try {
        this.receive(next);
      } catch (error) {
        // One bad message must not end the process.
        this.onFailure(error);
      }
    }
    this.draining = false;
  }
}
