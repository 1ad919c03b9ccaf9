import { type Refusal } from './move-plan';
import { type PlanContext } from './plan-context';
import { taskKey, type PartitionSnapshot, type PendingTasks, type TaskSnapshot } from './partition-snapshot';

/** The reason that forbids moving a task for pending tasks of another job, whatever the cost; null if it may be moved. */
export function moveRefusal(
  task: TaskSnapshot,
  pending: PendingTasks,
  partition: PartitionSnapshot,
  { budget, settings, now, isMoving }: PlanContext,
): Refusal | null {
  const key = taskKey(task);
  if (task.pinned !== null || isMoving(key)) return 'pinned';
  if (budget.wasMovedFor(key, { kind: 'make-room', job: pending.spec.job })) return 'moved for this before';
  const residenceMs = settings.min_residence_s * 1000;
  if (budget.msSinceLastMove(key, now) < residenceMs) return 'too short on its machine';
  if (task.phase === 'fetching') return null;
  if (task.elapsedS * 1000 < residenceMs) return 'too short on its machine';
  return mayPreempt(task, pending, partition) ? null : 'not allowed to stop it';
}

/**
 * Whether a running task may be stopped for pending tasks (PROTOCOL, "Preemption"): for those of higher priority and, if its
 * team uses at least its guaranteed CPUs without it, for those within another team's guarantee.
 */
function mayPreempt({ spec }: TaskSnapshot, pending: PendingTasks, partition: PartitionSnapshot): boolean {
  if (pending.spec.priority < spec.priority) return true;
  if (spec.team === pending.spec.team || !pending.withinGuarantee) return false;
  const { usedCpus, guaranteedCpus } = partition.teamUsage(spec.team);
  return usedCpus - spec.resources.cpus >= guaranteedCpus;
}
