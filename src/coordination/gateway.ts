import express, { type NextFunction, type Request, type Response } from 'express';
import { type FastHandler } from '../transport/report-server';
import { type Log } from '../transport/log';
import { JOB_REF } from '../protocol/jobs';
import { parseReport, redirectAnswer, reportAnswer, type Command, type Report } from '../protocol/workers';
import { type Runs, type UserAnswer } from './runs';

/** How a report is answered: by the machine's owner, with a redirection, or not at all (`busy`). */
export type ReportReply =
  | { kind: 'answer'; token: number; commands: Command[] }
  | { kind: 'redirect'; owner: string | null }
  | { kind: 'busy' };

export interface GatewayDependencies {
  runs: Runs;
  report: (report: Report, reply: (reply: ReportReply) => void) => void;
  ready: () => boolean;
  status: () => object;
  log: Log;
}

export const BODY_LIMIT = 64 * 1024;
export const REPORT_PATH = '/hello';
const JSON_ERROR = { error: 'not a report' };

/** Answers a worker's report, however it came in. */
export function answerReport(
  dependencies: Pick<GatewayDependencies, 'report' | 'log'>,
  body: unknown,
  tell: (status: number, body: object) => void,
): void {
  const report = parseReport(body);
  if (!report) {
    dependencies.log.info('malformed report');
    return tell(400, JSON_ERROR);
  }
  dependencies.report(report, (reply) => {
    if (reply.kind === 'answer') tell(200, reportAnswer(reply.token, reply.commands));
    else if (reply.kind === 'redirect') tell(421, redirectAnswer(reply.owner));
    else tell(503, { error: 'not now' });
  });
}

/** The same for reports that were read straight from the socket. */
export function fastReports(dependencies: Pick<GatewayDependencies, 'report' | 'log'>): FastHandler {
  return (text, answer) => {
    let body: unknown;
    try {
      body = JSON.parse(text);
    } catch {
      body = undefined;
    }
    answerReport(dependencies, body, (status, content) => answer(status, JSON.stringify(content)));
  };
}

/** The express routes; all that they know is how to speak. */
export function gateway(dependencies: GatewayDependencies): express.Express {
  const { runs, log } = dependencies;
  const app = express();
  app.disable('x-powered-by');
  app.set('etag', false);
  const json = express.json({ limit: BODY_LIMIT, strict: false, type: () => true });
  const tell = (res: Response, answer: UserAnswer): void => {
    if (answer.retryAfter !== undefined) res.setHeader('Retry-After', String(answer.retryAfter));
    res.status(answer.status).json(answer.body);
  };

  app.post(REPORT_PATH, json, (req: Request, res: Response) => {
    answerReport(dependencies, req.body, (status, body) => res.status(status).json(body));
  });
  app.get('/v2/runs/:ref', async (req: Request, res: Response) => {
    const ref = String(req.params['ref']);
    tell(res, JOB_REF.test(ref) ? await runs.status(ref) : { status: 404, body: { error: 'no such job' } });
  });
  app.post('/v2/runs/:ref/cancel', async (req: Request, res: Response) => {
    const ref = String(req.params['ref']);
    tell(res, JOB_REF.test(ref) ? await runs.cancel(ref) : { status: 404, body: { error: 'no such job' } });
  });
  app.post('/v2/runs', json, async (req: Request, res: Response) => {
    const answer = await runs.submit(req.body);
    // Not retried by its user: an operator should find out why.
    if (answer.status === 400 || answer.status === 422) log.info({ refused: answer.body }, 'job refused');
    tell(res, answer);
  });
  app.get('/ready', (_req: Request, res: Response) => {
    res.status(dependencies.ready() ? 200 : 503).json({});
  });
  app.get('/status', (_req: Request, res: Response) => {
    res.json(dependencies.status());
  });
  app.use((_req: Request, res: Response) => {
    res.status(404).json({ error: 'no such path' });
  });
  // Express tells an error handler by its four arguments.
  app.use((error: unknown, _req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(error);
    const status = (error as { status?: number }).status;
    if (typeof status === 'number' && status >= 400 && status < 500) {
      res.status(400).json({ error: String((error as Error).message).split('\n')[0] });
      return;
    }
    log.error({ error }, 'request failed');
    res.status(503).setHeader('Retry-After', '1').json({ error: 'failed' });
  });
  return app;
}
