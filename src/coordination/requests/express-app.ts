import express, { type NextFunction, type Request, type Response } from 'express';
import { JOB_REF_PATTERN } from '../../protocol/jobs';
import {
  answerHeartbeat,
  MAX_BODY_BYTES,
  MALFORMED_HEARTBEAT,
  HEARTBEAT_PATH,
  type HeartbeatDependencies,
} from './heartbeat-gateway';
import { type JobService, type ApiResponse } from './job-service';

export interface ApiDependencies extends HeartbeatDependencies {
  jobService: JobService;
  ready: () => boolean;
  status: () => object;
}

/** The express routes, for every request that is not plain (see plain-routes.ts); all that they know is how to speak. */
export function createExpressApp(dependencies: ApiDependencies): express.Express {
  const { jobService, log } = dependencies;
  const app = express();
  app.disable('x-powered-by');
  app.set('etag', false);
  const json = express.json({ limit: MAX_BODY_BYTES, strict: false, type: () => true });
  const respond = (res: Response, answer: ApiResponse): void => {
    if (answer.retryAfterS !== undefined) res.setHeader('Retry-After', String(answer.retryAfterS));
    res.status(answer.status).json(answer.body);
  };

  app.post(HEARTBEAT_PATH, json, (req: Request, res: Response) => {
    answerHeartbeat(dependencies, req.body, (status, body) => res.status(status).json(body));
  });
  app.get('/v2/runs/:ref', async (req: Request, res: Response) => {
    const ref = String(req.params['ref']);
    respond(
      res,
      JOB_REF_PATTERN.test(ref)
        ? await jobService.status(ref)
        : { status: 404, body: { error: 'no such job' } },
    );
  });
  app.post('/v2/runs/:ref/cancel', async (req: Request, res: Response) => {
    const ref = String(req.params['ref']);
    respond(
      res,
      JOB_REF_PATTERN.test(ref)
        ? await jobService.cancel(ref)
        : { status: 404, body: { error: 'no such job' } },
    );
  });
  app.post('/v2/runs', json, async (req: Request, res: Response) => {
    const answer = await jobService.submit(req.body);
    // Not retried by its user: an operator should find out why.
    if (answer.status === 400 || answer.status === 422) log.info({ rejection: answer.body }, 'job rejected');
    respond(res, answer);
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
      res.status(400).json(req.path === HEARTBEAT_PATH && !tooLarge ? MALFORMED_HEARTBEAT : reason);
      return;
    }
    log.error({ error }, 'request failed');
    res.status(503).setHeader('Retry-After', '1').json({ error: 'failed' });
  });
  return app;
}
