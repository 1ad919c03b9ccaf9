import { Subject } from 'rxjs';

/**
 * An actor owns its state; others reach it by `tell` alone. Messages are handled one at a time, in order:
 * one told while another is being handled waits for its turn.
 */
export abstract class Actor<M> {
  private readonly mailbox = new Subject<M>();
  private readonly waiting: M[] = [];
  private busy = false;

  protected constructor(private readonly onFailure: (error: unknown) => void) {
    this.mailbox.subscribe((message) => {
      this.waiting.push(message);
      if (!this.busy) this.drain();
    });
  }

  tell(message: M): void {
    this.mailbox.next(message);
  }

  protected abstract receive(message: M): void;

  private drain(): void {
    this.busy = true;
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      try {
        this.receive(next);
      } catch (error) {
        // One bad message must not end the process.
        this.onFailure(error);
      }
    }
    this.busy = false;
  }
}
