import { type JobSnapshot, type MachineSnapshot, type TaskSnapshot } from './partition-snapshot';
import { type RuntimeEstimator } from './runtime-estimator';

/** Image fetches take up to a third longer than stated. */
const FETCH_TIME_RATIO = 1.33;

/** A task that ends with this probability is taken to end. */
const LIKELY_END_PROBABILITY = 0.5;

/** What a move costs the task that is moved, in seconds by which it ends later. */
export interface MoveCost {
  /** Until the source has received the stop and the target the start. */
  commandLatencyS: number;
  /** Writing a checkpoint when the task is stopped. */
  checkpointS: number;
  /** Reading the checkpoint back, which takes about as long as writing it. */
  restoreS: number;
  /** Fetching the image at the target. */
  fetchS: number;
  /** Work that is lost and done again. */
  lostWorkS: number;
  /** Waiting for free resources, where none are reserved. */
  queueWaitS: number;
  /** Seconds of work that the target has beyond the mean, by the share of its CPUs that the task takes. */
  contentionS: number;
}

/** What the cost of a move depends on besides the task. */
export interface CostContext {
  heartbeatIntervalS: number;
  localityWeight: number;
  estimator: RuntimeEstimator;
  /** Seconds until a task that is put back to wait is started again. */
  requeueDelayS: (job: JobSnapshot) => number;
  /** Seconds of work that a machine has beyond the mean of its partition; negative: it has less. */
  excessWorkS: (machine: string) => number;
}

/** Seconds until a machine would have an image, its bandwidth shared with the fetches in progress; Infinity: never. */
export function fetchSeconds(
  { image, imageGb }: Pick<JobSnapshot, 'image' | 'imageGb'>,
  machine: Pick<MachineSnapshot, 'activeFetchCount' | 'fetchGbPerS' | 'hasImage'>,
): number {
  if (machine.hasImage(image)) return 0;
  if (machine.fetchGbPerS <= 0) return Number.POSITIVE_INFINITY;
  return (FETCH_TIME_RATIO * imageGb * (machine.activeFetchCount + 1)) / machine.fetchGbPerS;
}

/** What it costs to move a task to a machine; null: to put it back to wait. */
export function moveCost(task: TaskSnapshot, target: MachineSnapshot | null, context: CostContext): MoveCost {
  const { spec, phase, elapsedS } = task;
  const isRunning = phase === 'running';
  const saves = isRunning && spec.checkpointIntervalS > 0;
  return {
    // Source and target each learn of it with their next heartbeat, after half an interval on average.
    commandLatencyS: context.heartbeatIntervalS,
    checkpointS: saves ? spec.checkpointDurationS : 0,
    restoreS: saves ? spec.checkpointDurationS : 0,
    fetchS: target ? fetchSeconds(spec, target) : 0,
    lostWorkS: isRunning && !saves ? elapsedS : 0,
    queueWaitS: target ? 0 : context.requeueDelayS(spec),
    contentionS: target ? crowdingSeconds(spec, target, context) : 0,
  };
}

function crowdingSeconds(
  { resources }: JobSnapshot,
  { id, capacity }: MachineSnapshot,
  context: CostContext,
): number {
  return Math.max(0, context.excessWorkS(id)) * (resources.cpus / Math.max(1, capacity.cpus));
}

/** A move's cost as one number, in which the weight multiplies the time of fetching: locality against evenness. */
export function costSeconds(cost: MoveCost, localityWeight: number): number {
  const { commandLatencyS, checkpointS, restoreS, fetchS, lostWorkS, queueWaitS, contentionS } = cost;
  const delayS = commandLatencyS + checkpointS + restoreS + lostWorkS + queueWaitS + contentionS;
  return delayS + (fetchS > 0 ? localityWeight * fetchS : 0);
}

/** A task that has less left than this share of its run time is not moved. */
const NEAR_COMPLETION_RATIO = 0.1;

/** Whether a task is near its end, or will probably have ended before a move would have it running again, queues aside. */
export function endsBeforeMove(task: TaskSnapshot, cost: MoveCost, estimator: RuntimeEstimator): boolean {
  if (task.phase !== 'running') return false;
  const { commandLatencyS, checkpointS, restoreS, fetchS, lostWorkS } = cost;
  const movedInS = commandLatencyS + checkpointS + restoreS + fetchS + lostWorkS;
  const minRemainingS = Math.max(
    movedInS,
    NEAR_COMPLETION_RATIO * estimator.estimateRuntime(task.spec).meanS,
  );
  return estimator.remainingS(task.spec, task.elapsedS, LIKELY_END_PROBABILITY) <= minRemainingS;
}
