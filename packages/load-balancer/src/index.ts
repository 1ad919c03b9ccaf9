/** Load balancing: moves of tasks within a partition, and review of machine transfers between partitions. */
export * from './even-placement';
export * from './load-model';
export * from './load-summary';
export * from './machine-transfer-guard';
export * from './move-cost';
export * from './move-executor';
export * from './move-plan';
export * from './move-state';
export * from './move-tracker';
export * from './partition-balancer';
export * from './partition-snapshot';
export * from './resources';
export * from './runtime-estimator';
export * from './settings';
export * from './statistics';
export * from './summary-store';
