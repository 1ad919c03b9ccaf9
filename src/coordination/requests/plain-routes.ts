import { type PlainRequest } from '../../transport/plain-request';
import { type PlainHandler, type PlainRoute } from '../../transport/request-server';
import { type ApiDependencies } from './express-app';
import { plainHeartbeatHandler, HEARTBEAT_PATH } from './heartbeat-gateway';
import { type ApiResponse } from './job-service';

const SUBMIT_PATH = '/v2/runs';
const READY_PATH = '/ready';
const JOB_PATH = /^\/v2\/runs\/(job-[0-9]{1,18})(\/cancel)?$/;
const REQUEST_FAILED: ApiResponse = { status: 503, body: { error: 'failed' }, retryAfterS: 1 };

/**
 * The requests that come all the time, in their plain form. Each is answered exactly as the general gateway answers it; what
 * is written any other way (another path, a query, an odd name of a job) is left to that one.
 */
export function plainRoutes(dependencies: ApiDependencies): (request: PlainRequest) => PlainRoute | null {
  const { jobService, log } = dependencies;
  const directRoute = (execute: (body: string) => Promise<ApiResponse>): PlainRoute => ({
    kind: 'direct',
    handle: createHandler(dependencies, execute),
  });
  const heartbeats: PlainRoute = { kind: 'queued', handle: plainHeartbeatHandler(dependencies) };
  const submissions = directRoute(async (body) => {
    const answer = await jobService.submit(JSON.parse(body) as unknown);
    // Not retried by its user: an operator should find out why.
    if (answer.status === 400 || answer.status === 422) log.info({ rejection: answer.body }, 'job rejected');
    return answer;
  });
  const readiness: PlainRoute = {
    kind: 'direct',
    handle: (_, answer) => answer({ status: dependencies.ready() ? 200 : 503, body: '{}' }),
  };
  return ({ method, path, contentLength }) => {
    if (method === 'POST' && path === HEARTBEAT_PATH) return contentLength > 0 ? heartbeats : null;
    if (method === 'POST' && path === SUBMIT_PATH) return contentLength > 0 ? submissions : null;
    if (method === 'GET' && path === READY_PATH) return contentLength === 0 ? readiness : null;
    const [, ref, cancels] = JOB_PATH.exec(path) ?? [];
    if (ref === undefined) return null;
    if (method === 'POST') return cancels === undefined ? null : directRoute(() => jobService.cancel(ref));
    return cancels === undefined && contentLength === 0 ? directRoute(() => jobService.status(ref)) : null;
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
