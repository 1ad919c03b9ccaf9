/** Responses to users, as shared by the plain routes and the Express routes. */
import { type Log } from '../../transport/log';

/** An HTTP response to a user. */
export interface ApiResponse {
  status: number;
  /** Sent as JSON. */
  body: object;
  /** Seconds after which the user may try again. */
  retryAfterS?: number;
}

/** The response if no job has the requested ref. */
export const JOB_NOT_FOUND: ApiResponse = { status: 404, body: { error: 'no such job' } };

/** The response to a request that failed because of a defect; the request may be repeated. */
export const REQUEST_FAILED: ApiResponse = { status: 503, body: { error: 'failed' }, retryAfterS: 1 };

/** Logs a rejected submission. Its user does not repeat it, so the operators should find out why it was rejected. */
export function logRejection(log: Log, { status, body }: ApiResponse): void {
  if (status === 400 || status === 422) log.info({ rejection: body }, 'job rejected');
}
