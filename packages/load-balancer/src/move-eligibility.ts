import { type Refusal } from './move-plan';
import { type PlanContext } from './plan-context';
import { taskKey, type PartitionSnapshot, type PendingTasks, type TaskSnapshot } from './partition-snapshot';

/** Why a task is not to be moved for pending tasks of another job, whatever it costs; null: it may be. */
export function moveRefusal(
  task: TaskSnapshot,
  pending: PendingTasks,
  partition: PartitionSnapshot,
  { budget, settings, now, isMoving }: PlanContext,
): Refusal | null {
  const key = taskKey(task);
  if (task.pinned !== null || isMoving(key)) return 'pinned';
  if (budget.movedFor(key, { kind: 'make-room', job: pending.spec.job })) return 'moved for this before';
  const residenceMs = settings.min_residence_s * 1000;
  if (budget.sinceMovedMs(key, now) < residenceMs) return 'too short on its machine';
  if (task.phase === 'fetching') return null;
  if (task.elapsedS * 1000 < residenceMs) return 'too short on its machine';
  return mayPreempt(task, pending, partition) ? null : 'not allowed to stop it';
}

/** PROTOCOL, "Preemption": for higher priority, or beyond its team's guarantee for another team's guarantee. */
function mayPreempt({ spec }: TaskSnapshot, pending: PendingTasks, partition: PartitionSnapshot): boolean {
  if (pending.spec.priority < spec.priority) return true;
  if (spec.team === pending.spec.team || !pending.withinGuarantee) return false;
  const { usedCpus, guaranteedCpus } = partition.teamUsage(spec.team);
  return usedCpus - spec.resources.cpus >= guaranteedCpus;
}
