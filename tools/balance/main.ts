/**
 * Runs the same simulations of some minutes in virtual time with load balancing off and on, for several seeds, and writes the
 * results as one self-contained HTML report. CONTRIBUTING.md describes how to run it.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { Command } from 'commander';
import { runBalanceSimulation } from '../../test/standin/balance-day';
import { measurePlanningCosts } from './planning-cost';
import { renderReport } from './report';
import { VARIANTS, type VariantResults } from './variants';

interface Options {
  seeds: string;
  machines: string;
  minutes: string;
  out: string;
}

async function run({ seeds, machines, minutes, out }: Options): Promise<void> {
  const results: VariantResults[] = VARIANTS.map((variant) => ({ variant, simulations: [] }));
  for (let seed = 1; seed <= Number(seeds); seed++) {
    for (const { variant, simulations } of results) {
      const { balancing } = variant;
      const simulation = await runBalanceSimulation({
        ...{
          seed,
          balancing,
          machines: Number(machines),
          submissionMinutes: Number(minutes),
          crashAtMs: null,
        },
      });
      if (simulation.violations.length > 0)
        throw new Error(`seed ${seed}, ${variant.name}: ${simulation.violations[0]}`);
      simulations.push(simulation);
      console.log(
        `seed ${seed}, ${variant.name}: ${simulation.finished} of ${simulation.jobs} jobs finished`,
      );
    }
  }
  const report = renderReport(results, measurePlanningCosts());
  for (const line of report.lines) console.log(line);
  mkdirSync(dirname(out), { recursive: true });
  writeFileSync(out, report.html);
  console.log(`report: ${out}`);
}

const program = new Command('balance')
  .description('Compares simulations with and without load balancing, in virtual time.')
  .option('--seeds <n>', 'number of simulations per variant', '8')
  .option('--machines <n>', 'number of machines', '20')
  .option('--minutes <n>', 'minutes of virtual time for which jobs are submitted', '8')
  .option('--out <file>', 'path of the report', 'target-test/balance/report.html');
program.parse();
void run(program.opts<Options>());
