import { type PlainRequest } from '../transport/plain-request';
import { type PlainHandler, type PlainRoute } from '../transport/request-server';
import { type GatewayDependencies } from './gateway';
import { fastReports, REPORT_PATH } from './report-gateway';
import { type UserAnswer } from './runs';

const SUBMIT_PATH = '/v2/runs';
const READY_PATH = '/ready';
const JOB_PATH = /^\/v2\/runs\/(job-[0-9]{1,18})(\/cancel)?$/;
const FAILED: UserAnswer = { status: 503, body: { error: 'failed' }, retryAfter: 1 };

/**
 * The requests that come all the time, in their plain form. Each is answered exactly as the general gateway answers it; what
 * is written any other way (another path, a query, an odd name of a job) is left to that one.
 */
export function plainRoutes(dependencies: GatewayDependencies): (request: PlainRequest) => PlainRoute | null {
  const { runs, log } = dependencies;
  const direct = (act: (body: string) => Promise<UserAnswer>): PlainRoute => ({
    kind: 'direct',
    handle: answering(dependencies, act),
  });
  const reports: PlainRoute = { kind: 'queued', handle: fastReports(dependencies) };
  const submissions = direct(async (body) => {
    const answer = await runs.submit(JSON.parse(body) as unknown);
    // Not retried by its user: an operator should find out why.
    if (answer.status === 400 || answer.status === 422) log.info({ refused: answer.body }, 'job refused');
    return answer;
  });
  const readiness: PlainRoute = {
    kind: 'direct',
    handle: (_, answer) => answer({ status: dependencies.ready() ? 200 : 503, body: '{}' }),
  };
  return ({ method, path, length }) => {
    if (method === 'POST' && path === REPORT_PATH) return length > 0 ? reports : null;
    if (method === 'POST' && path === SUBMIT_PATH) return length > 0 ? submissions : null;
    if (method === 'GET' && path === READY_PATH) return length === 0 ? readiness : null;
    const [, ref, cancels] = JOB_PATH.exec(path) ?? [];
    if (ref === undefined) return null;
    if (method === 'POST') return cancels === undefined ? null : direct(() => runs.cancel(ref));
    return cancels === undefined && length === 0 ? direct(() => runs.status(ref)) : null;
  };
}

function answering({ log }: GatewayDependencies, act: (body: string) => Promise<UserAnswer>): PlainHandler {
  return (body, answer) => {
    const tell = (result: UserAnswer): void =>
      answer({ status: result.status, body: JSON.stringify(result.body), retryAfter: result.retryAfter });
    act(body).then(tell, (error: unknown) => {
      log.error({ error }, 'request failed');
      tell(FAILED);
    });
  };
}
