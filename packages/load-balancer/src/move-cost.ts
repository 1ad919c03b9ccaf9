import { type JobSnapshot, type MachineSnapshot, type TaskSnapshot } from './partition-snapshot';
import { type RuntimeEstimator } from './runtime-estimator';

/** Image fetches take up to a third longer than stated. */
const FETCH_TIME_RATIO = 1.33;

/** A task is assumed to end within the time in which it ends with this probability. */
const LIKELY_END_PROBABILITY = 0.5;

/** The cost of a move to the moved task, in seconds by which the task ends later. */
export interface MoveCost {
  /** Time until the source has received the stop command and the target the start command. */
  commandLatencyS: number;
  /** Writing a checkpoint when the task is stopped. */
  checkpointS: number;
  /** Reading the checkpoint back, which takes about as long as writing it. */
  restoreS: number;
  /** Fetching the image at the target. */
  fetchS: number;
  /** Work that is lost and must be done again. */
  lostWorkS: number;
  /** Waiting for free resources if none are reserved. */
  queueWaitS: number;
  /** Seconds of work that the target has above the mean, times the share of its CPUs that the task takes. */
  contentionS: number;
}

/** Inputs to the cost of a move, other than the task and its target. */
export interface CostContext {
  heartbeatIntervalS: number;
  localityWeight: number;
  estimator: RuntimeEstimator;
  /** Seconds until a requeued task of a job is started again. */
  requeueDelayS: (job: JobSnapshot) => number;
  /** Seconds of work that a machine has above the mean of its partition; negative if it has less. */
  excessWorkS: (machine: string) => number;
}

/** Seconds until a machine would have an image, sharing bandwidth with its fetches in progress; Infinity if never. */
export function fetchSeconds(
  { image, imageGb }: Pick<JobSnapshot, 'image' | 'imageGb'>,
  machine: Pick<MachineSnapshot, 'activeFetchCount' | 'fetchGbPerS' | 'hasImage'>,
): number {
  if (machine.hasImage(image)) return 0;
  if (machine.fetchGbPerS <= 0) return Number.POSITIVE_INFINITY;
  return (FETCH_TIME_RATIO * imageGb * (machine.activeFetchCount + 1)) / machine.fetchGbPerS;
}

/** The cost of moving a task to `target`, or of requeueing it if `target` is null. */
export function moveCost(task: TaskSnapshot, target: MachineSnapshot | null, context: CostContext): MoveCost {
  const { spec, phase, elapsedS } = task;
  const isRunning = phase === 'running';
  const writesCheckpoint = isRunning && spec.checkpointIntervalS > 0;
  return {
    // Source and target each receive a command with their next heartbeat, after half an interval on average.
    commandLatencyS: context.heartbeatIntervalS,
    checkpointS: writesCheckpoint ? spec.checkpointDurationS : 0,
    restoreS: writesCheckpoint ? spec.checkpointDurationS : 0,
    fetchS: target ? fetchSeconds(spec, target) : 0,
    lostWorkS: isRunning && !writesCheckpoint ? elapsedS : 0,
    queueWaitS: target ? 0 : context.requeueDelayS(spec),
    contentionS: target ? contentionSeconds(spec, target, context) : 0,
  };
}

function contentionSeconds(
  { resources }: JobSnapshot,
  { id, capacity }: MachineSnapshot,
  context: CostContext,
): number {
  return Math.max(0, context.excessWorkS(id)) * (resources.cpus / Math.max(1, capacity.cpus));
}

/** A move's cost in seconds. `localityWeight` multiplies the fetch time, to weigh locality against evenness. */
export function costSeconds(cost: MoveCost, localityWeight: number): number {
  const { commandLatencyS, checkpointS, restoreS, fetchS, lostWorkS, queueWaitS, contentionS } = cost;
  const delayS = commandLatencyS + checkpointS + restoreS + lostWorkS + queueWaitS + contentionS;
  return delayS + (fetchS > 0 ? localityWeight * fetchS : 0);
}

/** A task that has at most this share of its run time left is not moved. */
const NEAR_COMPLETION_RATIO = 0.1;

/** Whether a running task is near its end, or will probably end before it could run again after a move without queueing. */
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
