import { commandBytes, MAX_COMMANDS_BYTES } from '../../protocol/message-limits';
import { type Command } from '../../protocol/workers';

/** The commands of one answer to a heartbeat. The line that carries them stays within the protocol's limit. */
export class CommandList {
  private readonly added: Command[] = [];
  private freeBytes = MAX_COMMANDS_BYTES;

  get commands(): Command[] {
    return this.added;
  }

  /** Adds a command. Returns false, and adds nothing, if the line of the answer would be too long. */
  add(command: Command): boolean {
    const bytes = commandBytes(command);
    if (bytes > this.freeBytes) return false;
    this.freeBytes -= bytes;
    this.added.push(command);
    return true;
  }

  /** Number of further commands, each of at most this size, that fit into the answer. */
  countFitting(maxCommandBytes: number): number {
    return Math.floor(this.freeBytes / maxCommandBytes);
  }
}
