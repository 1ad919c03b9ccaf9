import { type PlainHandler } from '../../transport/request-server';
import { type Log } from '../../transport/log';
import {
  parseHeartbeat,
  redirectResponse,
  heartbeatResponse,
  type Command,
  type Heartbeat,
} from '../../protocol/workers';

/** How a report is answered: by the machine's owner, with a redirection, or not at all (`busy`). */
export type HeartbeatReply =
  | { kind: 'answer'; token: number; commands: Command[] }
  | { kind: 'redirect'; owner: string | null }
  | { kind: 'busy' };

export interface HeartbeatDependencies {
  receiveHeartbeat: (heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void) => void;
  log: Log;
}

/** Of a request's body, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;
export const HEARTBEAT_PATH = '/hello';
export const MALFORMED_HEARTBEAT = { error: 'not a report' };

/** Answers a worker's report, however it came in. */
export function answerHeartbeat(
  dependencies: HeartbeatDependencies,
  body: unknown,
  respond: (status: number, body: object) => void,
): void {
  const heartbeat = parseHeartbeat(body);
  if (!heartbeat) {
    dependencies.log.info('malformed heartbeat');
    return respond(400, MALFORMED_HEARTBEAT);
  }
  dependencies.receiveHeartbeat(heartbeat, (reply) => {
    if (reply.kind === 'answer') respond(200, heartbeatResponse(reply.token, reply.commands));
    else if (reply.kind === 'redirect') respond(421, redirectResponse(reply.owner));
    else respond(503, { error: 'not now' });
  });
}

/** The same for reports that were read straight from the socket. */
export function plainHeartbeatHandler(dependencies: HeartbeatDependencies): PlainHandler {
  return (text, answer) => {
    let body: unknown;
    try {
      body = JSON.parse(text);
    } catch {
      body = undefined;
    }
    answerHeartbeat(dependencies, body, (status, content) =>
      answer({ status, body: JSON.stringify(content) }),
    );
  };
}
