import js from '@eslint/js';
import tseslint from 'typescript-eslint';

// Layers, lowest first. A file may import its own layer and those below it.
const layers = ['transport', 'protocol', 'storage', 'coordination'];
const layerRules = layers.slice(0, -1).map((layer, i) => ({
  files: [`src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: layers
          .slice(i + 1)
          .map((higher) => ({ group: [`**/${higher}/*`], message: `${layer} lies below ${higher}` })),
      },
    ],
  },
}));

// A package knows nothing of the service, nor of other packages' insides: it declares what it needs of them.
const packageRules = {
  files: ['packages/*/src/**/*.ts', 'packages/*/test/**/*.ts'],
  languageOptions: {
    parserOptions: {
      project: ['./packages/*/tsconfig.json', './packages/*/test/tsconfig.json'],
      tsconfigRootDir: import.meta.dirname,
    },
  },
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [{ group: ['../../*', '../../../*'], message: 'a package imports nothing of the service' }],
      },
    ],
  },
};

const typeChecked = {
  // node:test runs what `test` returns by itself.
  '@typescript-eslint/no-floating-promises': [
    'error',
    { allowForKnownSafeCalls: [{ from: 'package', package: 'node:test', name: 'test' }] },
  ],
  '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
  '@typescript-eslint/await-thenable': 'error',
  '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
};

export default tseslint.config(
  { ignores: ['target/**', 'target-test/**', 'node_modules/**', 'packages/*/index.js'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...layerRules,
  {
    files: ['src/**/*.ts', 'test/**/*.ts', 'tools/balance/**/*.ts'],
    languageOptions: {
      parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: typeChecked,
  },
  packageRules,
  { files: ['packages/**/*.ts'], rules: typeChecked },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['test/**/*.ts', 'packages/*/test/**/*.ts'],
    rules: { '@typescript-eslint/no-non-null-assertion': 'off' },
  },
);
