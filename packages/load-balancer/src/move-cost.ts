import { type JobSnapshot, type MachineSnapshot, type TaskSnapshot } from './partition-view';
import { type RuntimeEstimator } from './runtime-estimator';

/** Image fetches are slower than stated by up to a third. */
const FETCH_TIME_RATIO = 1.33;

/** What ends with this probability is taken to end. */
const LIKELY_END_PROBABILITY = 0.5;

/** What a move costs the task that is moved, in seconds by which it ends later. */
export interface MoveCost {
  /** Until the source has heard of the stop and the target of the start. */
  messagesS: number;
  saveS: number;
  /** Reading the checkpoint back takes about as long as writing it. */
  restoreS: number;
  fetchS: number;
  /** Work since the last checkpoint that is done again. */
  lostS: number;
  /** Waiting for room, where none is reserved for it. */
  queuedS: number;
  /** Evenness: for how long the target is busier than the mean, by the share of it that the task takes. */
  crowdingS: number;
}

/** What the cost of a move depends on besides the task. */
export interface CostContext {
  heartbeatIntervalS: number;
  localityWeight: number;
  estimator: RuntimeEstimator;
  /** Seconds until a task that is put back to wait finds room again. */
  requeueS(job: JobSnapshot): number;
  /** Seconds of work outstanding on a machine beyond the mean of the partition. */
  excessWorkS(machine: string): number;
}

/** Seconds until a machine would have an image, sharing its bandwidth with the fetches under way. */
export function fetchSeconds(
  { image, imageGb }: Pick<JobSnapshot, 'image' | 'imageGb'>,
  machine: Pick<MachineSnapshot, 'fetching' | 'fetchGbPerS' | 'hasImage'>,
): number {
  if (machine.hasImage(image)) return 0;
  if (machine.fetchGbPerS <= 0) return Number.POSITIVE_INFINITY;
  return (FETCH_TIME_RATIO * imageGb * (machine.fetching + 1)) / machine.fetchGbPerS;
}

/** What it costs to move a task to a machine; null: to put it back to wait. */
export function moveCost(task: TaskSnapshot, target: MachineSnapshot | null, context: CostContext): MoveCost {
  const { spec, phase, elapsedS } = task;
  const runs = phase === 'running';
  const saves = runs && spec.checkpointS > 0;
  return {
    // Each side hears of it with its next report, after half an interval on average.
    messagesS: context.heartbeatIntervalS,
    saveS: saves ? spec.saveS : 0,
    restoreS: saves ? spec.saveS : 0,
    fetchS: target ? fetchSeconds(spec, target) : 0,
    lostS: runs && !saves ? elapsedS : 0,
    queuedS: target ? 0 : context.requeueS(spec),
    crowdingS: target ? crowdingSeconds(spec, target, context) : 0,
  };
}

function crowdingSeconds(
  { resources }: JobSnapshot,
  { id, capacity }: MachineSnapshot,
  context: CostContext,
): number {
  return Math.max(0, context.excessWorkS(id)) * (resources.cpus / Math.max(1, capacity.cpus));
}

/** One number for a move's cost. Locality against evenness is this sum: fetching is what the weight multiplies. */
export function costSeconds(cost: MoveCost, localityWeight: number): number {
  const { messagesS, saveS, restoreS, fetchS, lostS, queuedS, crowdingS } = cost;
  const delayS = messagesS + saveS + restoreS + lostS + queuedS + crowdingS;
  return delayS + (fetchS > 0 ? localityWeight * fetchS : 0);
}

/** A task that has less left than this share of its run time is near its finish and stays. */
const NEAR_COMPLETION_RATIO = 0.1;

/** Whether a task is near its finish, or will probably have ended by the time at which a move would have it going again, queues aside. */
export function endsBeforeMove(task: TaskSnapshot, cost: MoveCost, estimator: RuntimeEstimator): boolean {
  if (task.phase !== 'running') return false;
  const { messagesS, saveS, restoreS, fetchS, lostS } = cost;
  const movedInS = messagesS + saveS + restoreS + fetchS + lostS;
  const stays = Math.max(movedInS, NEAR_COMPLETION_RATIO * estimator.total(task.spec).meanS);
  return estimator.remainingS(task.spec, task.elapsedS, LIKELY_END_PROBABILITY) <= stays;
}
