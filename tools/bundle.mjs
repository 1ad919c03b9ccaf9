// Packs the compiled program into one file and keeps V8's code for it beside it. A controller has a small
// share of a core: reading and compiling some hundred files would cost it seconds at every start.
import { build } from 'esbuild';
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';

await build({
  entryPoints: ['target/main.js'],
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  outfile: 'target/bundle.js',
  banner: { js: '(function (exports, require, module, __filename, __dirname) {' },
  footer: { js: '})' },
  logLevel: 'error',
});

// Running it once, with no work to do, makes V8 compile what every start needs.
const source = readFileSync('target/bundle.js', 'utf8');
const script = new Script(source, { filename: 'bundle.js' });
process.argv = [process.argv[0], 'heathbridge', '--warm-up'];
const require = createRequire(import.meta.url);
const module = { exports: {} };
script.runInThisContext()(module.exports, require, module, 'bundle.js', 'target');
writeFileSync('target/bundle.code', script.createCachedData());
