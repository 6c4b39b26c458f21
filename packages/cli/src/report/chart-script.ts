/**
 * Script of the report page; draws its charts with Chart.js from the constant `rows`, which the page defines.
 */
export const chartScript = `
Chart.defaults.font.family = "system-ui, sans-serif";
Chart.defaults.font.size = 13;
Chart.defaults.color = "#1d2733";
const draw = (id, shown, columns, stacked, unit) => new Chart(document.getElementById(id), {
    type: "bar",
    data: {
        labels: shown.map(row => row.organisation),
        datasets: columns.map(([label, name, colour]) => ({
            label, data: shown.map(row => row[name]), backgroundColor: colour, maxBarThickness: 22,
        })),
    },
    options: {
        indexAxis: "y",
        animation: false,
        maintainAspectRatio: false,
        plugins: { legend: { position: "top", align: "start" } },
        scales: {
            x: { stacked, beginAtZero: true, title: { display: true, text: unit } },
            y: { stacked, grid: { display: false }, ticks: { autoSkip: false } },
        },
    },
});
draw("outcomes", rows, [
    ["completed promptly", "prompt", "#1b7a4b"],
    ["completed after a delay", "delayed", "#8ccf9f"],
    ["refused, not run", "refused", "#e0a020"],
    ["failed", "failed", "#b3261e"],
    ["unknown", "unknown", "#5b3f8c"],
], true, "requests");
draw("shares", rows.filter(row => row.hasShare), [
    ["received", "received", "#1f5fa8"],
    ["fair share", "fair", "#a9b4c0"],
], false, "per cent of the completed requests");
`;
