/**
 * Style sheet of the report page.
 */
export const pageStyle = `
body { margin: 0; background: #ffffff; color: #1d2733; font: 16px/1.5 system-ui, "DejaVu Sans", sans-serif; }
main { max-width: 1100px; margin: 0 auto; padding: 24px; }
h1 { font-size: 28px; line-height: 1.2; margin: 0 0 12px; }
h2 { font-size: 19px; margin: 32px 0 8px; }
p { max-width: 75ch; }
.notes { margin: 0; padding: 0; list-style: none; color: #46535f; }
.notes .missing { color: #9c1c15; font-weight: 600; }
.chart { position: relative; width: 100%; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-size: 14px; font-variant-numeric: tabular-nums; }
th, td { padding: 5px 12px; text-align: right; border-bottom: 1px solid #d5dbe1; }
th { color: #46535f; font-weight: 600; vertical-align: bottom; }
th:first-child, td:first-child { text-align: left; padding-left: 0; white-space: nowrap; }
@media print { main { max-width: none; padding: 0; } }
`;
