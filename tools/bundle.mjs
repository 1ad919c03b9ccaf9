// Packs the program into a few files and keeps V8's code for the main one beside it. A controller has a small share of a
// core: reading and compiling some hundred files would cost it seconds at every start.
import { build } from 'esbuild';
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

const root = join(import.meta.dirname, '..');
// What a start does not need is kept out of the main file, to be read only when it is asked for.
const libraries = ['fengari', 'hdr-histogram-js'];
const modules = {
  './coordination/requests/express-app': 'express-app',
  './cli/command-line': 'command-line',
  './startup/optional-features': 'optional-features',
};
const common = {
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // The program runs as a script of `vm`, which knows no dynamic import: it becomes a late `require`.
  supported: { 'dynamic-import': false },
  logLevel: 'error',
  // Modules that say what they export, so that what is not used is left out: of rxjs, say, all but a tenth.
  mainFields: ['module', 'main'],
  alias: { rxjs: join(root, 'node_modules/rxjs/dist/esm/index.js'), avsc: 'avsc/lib/types' },
};

const keepApart = {
  name: 'keep-apart',
  setup(build) {
    const filter = new RegExp(`^(${libraries.join('|')})$|/(express-app|command-line|optional-features)$`);
    build.onResolve({ filter }, ({ path, kind, importer }) => {
      if (libraries.includes(path)) return { path: `./${path}.js`, external: true };
      const name = path.split('/').pop();
      const asked = kind === 'dynamic-import' && Object.values(modules).includes(name);
      return asked && importer !== '' ? { path: `./${name}.js`, external: true } : undefined;
    });
  },
};

// Texts in forty languages and tables of character sets that no caller uses make up half of what would be read.
const leaveOut = {
  name: 'leave-out',
  setup(build) {
    // Written in the form of the module that it stands for: `module.exports` in the other one is the whole file's.
    const empty = (filter, contents) => build.onLoad({ filter }, () => ({ contents, loader: 'js' }));
    empty(/zod.v4.locales.index\.m?js$/, 'export {}');
    empty(/zod.v4.locales.index\.cjs$/, 'module.exports = {}');
    empty(/iconv-lite.encodings.(tables.*|sbcs-data.*|dbcs-data.*)$/, 'module.exports = {}');
    // Of two thousand media types one is spoken; sorting them all takes longer than anything of ours.
    const types = { 'application/json': { source: 'iana', charset: 'UTF-8', extensions: ['json'] } };
    build.onLoad({ filter: /mime-db.db\.json$/ }, () => ({
      contents: JSON.stringify(types),
      loader: 'json',
    }));
  },
};

for (const name of libraries) {
  const stdin = { contents: `module.exports = require('${name}')`, resolveDir: root };
  await build({ ...common, stdin, outfile: `target/${name}.js` });
}
for (const [path, name] of Object.entries(modules)) {
  const entryPoints = [join(root, 'src', `${path}.ts`)];
  await build({ ...common, plugins: [keepApart, leaveOut], entryPoints, outfile: `target/${name}.js` });
}
await build({
  ...common,
  plugins: [keepApart, leaveOut],
  entryPoints: [join(root, 'src/main.ts')],
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
