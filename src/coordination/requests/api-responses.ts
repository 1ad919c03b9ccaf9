/** Responses to users, and what the plain routes and the Express routes have in common. */
import { type Log } from '../../transport/log';

/** An HTTP response to a user. */
export interface ApiResponse {
  status: number;
  /** Sent as JSON. */
  body: object;
  /** Seconds after which the user may try again. */
  retryAfterS?: number;
}

/** No job has this ref. */
export const JOB_NOT_FOUND: ApiResponse = { status: 404, body: { error: 'no such job' } };

/** A request met a defect; it may be repeated. */
export const REQUEST_FAILED: ApiResponse = { status: 503, body: { error: 'failed' }, retryAfterS: 1 };

/** A rejected submission is not repeated by its user, so the operators should find out why. */
export function logRejection(log: Log, { status, body }: ApiResponse): void {
  if (status === 400 || status === 422) log.info({ rejection: body }, 'job rejected');
}
