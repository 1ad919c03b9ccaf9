import { type PlainRequest } from '../../transport/plain-request';
import { type PlainHandler, type PlainRoute } from '../../transport/request-server';
import { API_PATHS } from '../../protocol/api-paths';
import { type ApiDependencies } from './express-app';
import { logRejection, REQUEST_FAILED, type ApiResponse } from './api-responses';
import { plainHeartbeatHandler } from './heartbeat-gateway';

const JOB_PATH_PATTERN = /^\/v2\/runs\/(job-[0-9]{1,18})(\/cancel)?$/;

/**
 * Creates the routes of the frequent requests in their plain form (see plain-request.ts). They respond exactly as the Express
 * routes do. A request in any other form has no route here (null) and is left to the Express routes.
 */
export function plainRoutes(dependencies: ApiDependencies): (request: PlainRequest) => PlainRoute | null {
  const { jobService, log } = dependencies;
  const directRoute = (execute: (body: string) => Promise<ApiResponse>): PlainRoute => ({
    kind: 'direct',
    handle: createHandler(dependencies, execute),
  });
  const heartbeats: PlainRoute = { kind: 'queued', handle: plainHeartbeatHandler(dependencies) };
  const submissions = directRoute(async (body) => {
    const response = await jobService.submit(JSON.parse(body) as unknown);
    logRejection(log, response);
    return response;
  });
  const readiness: PlainRoute = {
    kind: 'direct',
    handle: (_, answer) => answer({ status: dependencies.ready() ? 200 : 503, body: '{}' }),
  };
  return ({ method, path, contentLength }) => {
    if (method === 'POST' && path === API_PATHS.heartbeat) return contentLength > 0 ? heartbeats : null;
    if (method === 'POST' && path === API_PATHS.jobs) return contentLength > 0 ? submissions : null;
    if (method === 'GET' && path === API_PATHS.ready) return contentLength === 0 ? readiness : null;
    const [, ref, cancelSuffix] = JOB_PATH_PATTERN.exec(path) ?? [];
    if (ref === undefined) return null;
    if (method === 'POST')
      return cancelSuffix === undefined ? null : directRoute(() => jobService.cancel(ref));
    return cancelSuffix === undefined && contentLength === 0
      ? directRoute(() => jobService.status(ref))
      : null;
  };
}

function createHandler(
  { log }: ApiDependencies,
  execute: (body: string) => Promise<ApiResponse>,
): PlainHandler {
  return (body, answer) => {
    const respond = (result: ApiResponse): void =>
      answer({ status: result.status, body: JSON.stringify(result.body), retryAfterS: result.retryAfterS });
    execute(body).then(respond, (error: unknown) => {
      log.error({ error }, 'request failed');
      respond(REQUEST_FAILED);
    });
  };
}
