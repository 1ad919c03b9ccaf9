import { type PlainHandler } from '../transport/request-server';
import { type Log } from '../transport/log';
import { parseReport, redirectAnswer, reportAnswer, type Command, type Report } from '../protocol/workers';

/** How a report is answered: by the machine's owner, with a redirection, or not at all (`busy`). */
export type ReportReply =
  | { kind: 'answer'; token: number; commands: Command[] }
  | { kind: 'redirect'; owner: string | null }
  | { kind: 'busy' };

export interface ReportDependencies {
  report: (report: Report, reply: (reply: ReportReply) => void) => void;
  log: Log;
}

/** Of a request's body, in bytes. */
export const BODY_LIMIT = 64 * 1024;
export const REPORT_PATH = '/hello';
export const NOT_A_REPORT = { error: 'not a report' };

/** Answers a worker's report, however it came in. */
export function answerReport(
  dependencies: ReportDependencies,
  body: unknown,
  tell: (status: number, body: object) => void,
): void {
  const report = parseReport(body);
  if (!report) {
    dependencies.log.info('malformed report');
    return tell(400, NOT_A_REPORT);
  }
  dependencies.report(report, (reply) => {
    if (reply.kind === 'answer') tell(200, reportAnswer(reply.token, reply.commands));
    else if (reply.kind === 'redirect') tell(421, redirectAnswer(reply.owner));
    else tell(503, { error: 'not now' });
  });
}

/** The same for reports that were read straight from the socket. */
export function fastReports(dependencies: ReportDependencies): PlainHandler {
  return (text, answer) => {
    let body: unknown;
    try {
      body = JSON.parse(text);
    } catch {
      body = undefined;
    }
    answerReport(dependencies, body, (status, content) => answer({ status, body: JSON.stringify(content) }));
  };
}
