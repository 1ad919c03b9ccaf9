import { Subject } from 'rxjs';

/**
 * An actor owns its state; others reach it through `send` alone. Messages are handled one at a time, in the order in which
 * they were sent: one sent while another is being handled waits for its turn. `send` returns once the message is handled,
 * unless another one was being handled.
 */
export abstract class Actor<Message> {
  private readonly mailbox = new Subject<Message>();
  private readonly pending: Message[] = [];
  private draining = false;

  /** `onFailure` is told what `receive` throws; the next message is handled as if nothing had happened. */
  protected constructor(private readonly onFailure: (error: unknown) => void) {
    this.mailbox.subscribe((message) => {
      this.pending.push(message);
      if (!this.draining) this.drain();
    });
  }

  send(message: Message): void {
    this.mailbox.next(message);
  }

  protected abstract receive(message: Message): void;

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
