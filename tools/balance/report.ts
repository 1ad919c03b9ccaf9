import * as echarts from 'echarts';
import { quantile, type BalanceSimulationResult } from '../../test/standin/balance-day';
import { type PlanningCost } from './planning-cost';
import { type VariantResults } from './variants';

/** An HTML report, and its tables as lines of text. */
export interface Report {
  html: string;
  lines: string[];
}

const PLOT_WIDTH_PX = 900;
const PLOT_HEIGHT_PX = 360;
const SPREAD_BIN_WIDTH_MS = 10_000;

/** A number that is computed for each simulation. */
interface Metric {
  name: string;
  measure: (simulation: BalanceSimulationResult) => number;
}

const METRICS: Metric[] = [
  {
    name: 'start delay of urgent tasks p50, s',
    measure: (simulation) => quantile(simulation.startDelays.get('urgent') ?? [], 0.5),
  },
  {
    name: 'start delay of urgent tasks p95, s',
    measure: (simulation) => quantile(simulation.startDelays.get('urgent') ?? [], 0.95),
  },
  {
    name: 'start delay of idle tasks p50, s',
    measure: (simulation) => quantile(simulation.startDelays.get('idle') ?? [], 0.5),
  },
  {
    name: 'start delay of idle tasks p95, s',
    measure: (simulation) => quantile(simulation.startDelays.get('idle') ?? [], 0.95),
  },
  {
    name: 'spread (coefficient of variation of CPUs in use)',
    measure: (simulation) => mean(simulation.spread.map(({ value }) => value)),
  },
  { name: 'task moves completed', measure: (simulation) => simulation.moves.completed },
  { name: 'task moves abandoned', measure: (simulation) => simulation.moves.abandoned },
  { name: 'machine moves', measure: (simulation) => simulation.machineMoves.allowed },
  { name: 'run time lost and repeated, s', measure: (simulation) => simulation.repeatedWorkS },
  { name: 'jobs finished', measure: (simulation) => simulation.finished },
  { name: 'processor time per simulation, ms', measure: (simulation) => simulation.cpuMs },
];

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function standardDeviation(values: readonly number[]): number {
  const average = mean(values);
  return Math.sqrt(mean(values.map((value) => (value - average) ** 2)));
}

function plot(title: string, option: echarts.EChartsOption): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: PLOT_WIDTH_PX,
    height: PLOT_HEIGHT_PX,
  });
  chart.setOption({
    animation: false,
    title: { text: title, left: 'center' },
    legend: { top: 28 },
    ...option,
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function startDelayPlot(results: readonly VariantResults[], priority: string): string {
  const quantiles = [0.5, 0.75, 0.9, 0.95, 0.99];
  return plot(`Start delay of tasks of priority '${priority}', by quantile`, {
    xAxis: { type: 'category', data: quantiles.map((fraction) => `p${fraction * 100}`) },
    yAxis: { type: 'value', name: 's' },
    series: results.map(({ variant, simulations }) => {
      const delays = simulations.flatMap((simulation) => simulation.startDelays.get(priority) ?? []);
      const data = quantiles.map((fraction) => Math.round(quantile(delays, fraction) * 10) / 10);
      return { name: variant.name, type: 'bar' as const, data };
    }),
  });
}

function spreadPlot(results: readonly VariantResults[]): string {
  return plot('Spread over time: coefficient of variation of CPUs in use, mean of the seeds', {
    xAxis: { type: 'value', name: 's' },
    yAxis: { type: 'value' },
    series: results.map(({ variant, simulations }) => {
      const bins = new Map<number, number[]>();
      for (const { atMs, value } of simulations.flatMap((simulation) => simulation.spread)) {
        const bin = Math.floor(atMs / SPREAD_BIN_WIDTH_MS);
        bins.set(bin, [...(bins.get(bin) ?? []), value]);
      }
      const data = [...bins].sort(([a], [b]) => a - b);
      return {
        name: variant.name,
        type: 'line' as const,
        showSymbol: false,
        data: data.map(([bin, values]) => [(bin * SPREAD_BIN_WIDTH_MS) / 1000, mean(values)]),
      };
    }),
  });
}

function costPlot(costs: readonly PlanningCost[]): string {
  const series = (name: string, measure: (cost: PlanningCost) => number): echarts.SeriesOption => ({
    name,
    type: 'scatter',
    data: costs.map((cost) => [cost.tasks, measure(cost)]),
  });
  return plot('Time of one planning round and one summary, by number of tasks (most expensive case)', {
    xAxis: { type: 'value', name: 'tasks' },
    yAxis: { type: 'value', name: 'ms' },
    series: [series('planning', (cost) => cost.planMs), series('summary', (cost) => cost.summaryMs)],
  });
}

/** Renders the results. The plots are inline SVG. */
export function renderReport(results: readonly VariantResults[], costs: readonly PlanningCost[]): Report {
  const header = ['metric', ...results.map(({ variant }) => variant.name)];
  const rows = METRICS.map(({ name, measure }) => [
    name,
    ...results.map(({ simulations }) => {
      const values = simulations.map(measure);
      return `${mean(values).toFixed(2)} ± ${standardDeviation(values).toFixed(2)}`;
    }),
  ]);
  const costHeader = ['machines', 'tasks', 'planning, ms', 'summary, ms'];
  const costRows = costs.map(({ machines, tasks, planMs, summaryMs }) => [
    ...[`${machines}`, `${tasks}`, planMs.toFixed(1), summaryMs.toFixed(1)],
  ]);
  const plots = [
    spreadPlot(results),
    startDelayPlot(results, 'urgent'),
    startDelayPlot(results, 'idle'),
    costPlot(costs),
  ];
  const seeds = results[0]?.simulations.length ?? 0;
  return {
    lines: [header, ...rows, costHeader, ...costRows].map((cells) => `| ${cells.join(' | ')} |`),
    html: `<!doctype html><html lang="en"><meta charset="utf-8"><title>Load balancing off and on</title>
<body style="font-family: sans-serif; max-width: 60em; margin: auto">
<h1>Load balancing off and on</h1>
<p>${seeds} simulations per variant in virtual time, with simulated machines. Mean and standard deviation over the seeds.</p>
${table(header, rows)}${plots.join('\n')}${table(costHeader, costRows)}</body></html>\n`,
  };
}

function table(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const rowHtml = (cells: readonly string[], tag: string): string =>
    `<tr>${cells.map((cell) => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
  const body = rows.map((row) => rowHtml(row, 'td')).join('\n');
  return `<table border="1" cellpadding="4" style="border-collapse: collapse">${rowHtml(header, 'th')}\n${body}</table>\n`;
}
