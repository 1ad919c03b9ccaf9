import express, { type NextFunction, type Request, type Response } from 'express';
import { JOB_REF } from '../protocol/jobs';
import {
  answerReport,
  BODY_LIMIT,
  NOT_A_REPORT,
  REPORT_PATH,
  type ReportDependencies,
} from './report-gateway';
import { type Runs, type UserAnswer } from './runs';

export interface GatewayDependencies extends ReportDependencies {
  runs: Runs;
  ready: () => boolean;
  status: () => object;
}

/** The express routes, for every request that is not plain (see plain-routes.ts); all that they know is how to speak. */
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
  app.use((error: unknown, req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(error);
    const status = (error as { status?: number }).status;
    if (typeof status === 'number' && status >= 400 && status < 500) {
      const reason = { error: String((error as Error).message).split('\n')[0] };
      const tooLarge = status === 413;
      res.status(400).json(req.path === REPORT_PATH && !tooLarge ? NOT_A_REPORT : reason);
      return;
    }
    log.error({ error }, 'request failed');
    res.status(503).setHeader('Retry-After', '1').json({ error: 'failed' });
  });
  return app;
}
