import express, { type NextFunction, type Request, type Response } from 'express';
import { API_PATHS } from '../../protocol/api-paths';
import { JOB_REF_PATTERN } from '../../protocol/jobs';
import { MAX_BODY_BYTES } from '../../protocol/message-limits';
import { logRejection, REQUEST_FAILED, JOB_NOT_FOUND, type ApiResponse } from './api-responses';
import { answerHeartbeat, MALFORMED_HEARTBEAT, type HeartbeatDependencies } from './heartbeat-gateway';
import { type JobService } from './job-service';

/** Spaces of indentation in the response to `GET /status`. It is unlimited in length, but its lines may not be too long. */
const STATUS_INDENT = 1;

/** What the HTTP interface needs from a controller. */
export interface ApiDependencies extends HeartbeatDependencies {
  jobService: JobService;
  ready: () => boolean;
  status: () => object;
}

/** Creates the Express routes, for all requests that plain-routes.ts leaves to them. */
export function createExpressApp(dependencies: ApiDependencies): express.Express {
  const { jobService, log } = dependencies;
  const app = express();
  app.disable('x-powered-by');
  app.set('etag', false);
  const json = express.json({ limit: MAX_BODY_BYTES, strict: false, type: () => true });
  const respond = (res: Response, response: ApiResponse): void => {
    if (response.retryAfterS !== undefined) res.setHeader('Retry-After', String(response.retryAfterS));
    res.status(response.status).json(response.body);
  };

  app.post(API_PATHS.heartbeat, json, (req: Request, res: Response) => {
    answerHeartbeat(dependencies, req.body, (status, body) => res.status(status).json(body));
  });
  app.get(`${API_PATHS.jobs}/:ref`, async (req: Request, res: Response) => {
    const ref = String(req.params['ref']);
    respond(res, JOB_REF_PATTERN.test(ref) ? await jobService.status(ref) : JOB_NOT_FOUND);
  });
  app.post(`${API_PATHS.jobs}/:ref/cancel`, async (req: Request, res: Response) => {
    const ref = String(req.params['ref']);
    respond(res, JOB_REF_PATTERN.test(ref) ? await jobService.cancel(ref) : JOB_NOT_FOUND);
  });
  app.post(API_PATHS.jobs, json, async (req: Request, res: Response) => {
    const response = await jobService.submit(req.body);
    logRejection(log, response);
    respond(res, response);
  });
  app.get(API_PATHS.ready, (_req: Request, res: Response) => {
    res.status(dependencies.ready() ? 200 : 503).json({});
  });
  app.get(API_PATHS.status, (_req: Request, res: Response) => {
    res.type('json').send(JSON.stringify(dependencies.status(), null, STATUS_INDENT));
  });
  app.use((_req: Request, res: Response) => {
    res.status(404).json({ error: 'no such path' });
  });
  // Express recognizes an error handler by its four parameters.
  app.use((error: unknown, req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(error);
    const { status, length } = error as { status?: number; length?: number };
    if (typeof status === 'number' && status >= 400 && status < 500) {
      const reason = { error: String((error as Error).message).split('\n')[0] };
      const tooLarge = status === 413;
      if (tooLarge) log.info({ path: req.path, bytes: length }, 'request body too large');
      res.status(400).json(req.path === API_PATHS.heartbeat && !tooLarge ? MALFORMED_HEARTBEAT : reason);
      return;
    }
    log.error({ error }, 'request failed');
    respond(res, REQUEST_FAILED);
  });
  return app;
}
