import { Subject } from 'rxjs';

/**
 * Owns its state, which other code reaches only through `send`. Messages are handled one at a time, in the order in which
 * they were sent. `send` handles the message before it returns; while another message is being handled, it only queues it.
 */
export abstract class Actor<Message> {
  private readonly mailbox = new Subject<Message>();
  private readonly pending: Message[] = [];
  private draining = false;

  /** `onFailure` receives the errors that `receive` throws; the next message is then handled as usual. */
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
        // A message whose handling fails must not end the process.
        this.onFailure(error);
      }
    }
    this.draining = false;
  }
}
