import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**", "packages/protocol/src/generated/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        languageOptions: {
            parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
        },
        plugins: { jsdoc },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "no-var": "error",
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "max-lines": ["error", { max: 450, skipBlankLines: true, skipComments: true }],
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { ClassDeclaration: true, FunctionDeclaration: true },
                contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
            }],
        },
    },
    {
        files: ["packages/*/src/test/**/*.ts", "platform/src/test/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off", "jsdoc/require-jsdoc": "off" },
    },
);
