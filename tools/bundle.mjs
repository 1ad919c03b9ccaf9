// Packs the compiled program into one file and keeps V8's code for it beside it. A controller has a small
// share of a core: reading and compiling some hundred files would cost it seconds at every start.
import { build } from 'esbuild';
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';

// What few starts need is kept out of the one file, to be read only when it is asked for.
const apart = ['fengari', 'hdr-histogram-js'];
const common = {
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  logLevel: 'error',
};
for (const name of apart) {
  await build({
    ...common,
    stdin: { contents: `module.exports = require('${name}')`, resolveDir: '.' },
    outfile: `target/${name}.js`,
  });
}
const keepApart = {
  name: 'keep-apart',
  setup(build) {
    build.onResolve({ filter: new RegExp(`^(${apart.join('|')})$`) }, ({ path }) => ({
      path: `./${path}.js`,
      external: true,
    }));
  },
};

// Texts in forty languages and tables of character sets that no caller uses make up half of what would be read.
const leaveOut = {
  name: 'leave-out',
  setup(build) {
    const unused =
      /(zod.v4.locales.index\.(c?js|mjs)|iconv-lite.encodings.(tables.*|sbcs-data.*|dbcs-data.*))$/;
    build.onLoad({ filter: unused }, () => ({ contents: 'module.exports = {}', loader: 'js' }));
    // Of two thousand media types one is spoken; sorting them all takes longer than anything of ours.
    const types = { 'application/json': { source: 'iana', charset: 'UTF-8', extensions: ['json'] } };
    build.onLoad({ filter: /mime-db.db\.json$/ }, () => ({
      contents: JSON.stringify(types),
      loader: 'json',
    }));
  },
};

await build({
  ...common,
  plugins: [keepApart, leaveOut],
  entryPoints: ['target/main.js'],
  outfile: 'target/bundle.js',
  banner: { js: '(function (exports, require, module, __filename, __dirname) {' },
  footer: { js: '})' },
});

// Running it once, with no work to do, makes V8 compile what every start needs.
const source = readFileSync('target/bundle.js', 'utf8');
const script = new Script(source, { filename: 'bundle.js' });
process.argv = [process.argv[0], 'heathbridge', '--warm-up'];
const require = createRequire(import.meta.url);
const module = { exports: {} };
script.runInThisContext()(module.exports, require, module, 'bundle.js', 'target');
writeFileSync('target/bundle.code', script.createCachedData());
