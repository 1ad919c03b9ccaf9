import js from '@eslint/js';
import tseslint from 'typescript-eslint';

// Layers, lowest first. A file may import its own layer and those below it.
const layers = ['transport', 'protocol', 'storage', 'coordination'];
const layerRules = layers.slice(0, -1).map((layer, i) => ({
  files: [`src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      { patterns: layers.slice(i + 1).map((higher) => ({ group: [`**/${higher}/*`], message: `${layer} lies below ${higher}` })) },
    ],
  },
}));

export default tseslint.config(
  { ignores: ['target/**', 'target-test/**', 'node_modules/**'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...layerRules,
  { files: ['test/**/*.ts'], rules: { '@typescript-eslint/no-non-null-assertion': 'off' } },
);
