/**
 * Script of the report page; draws its charts with Chart.js from the constant `rows`.
 */
export const chartScript = `
Chart.defaults.font.family = "system-ui, sans-serif";
Chart.defaults.font.size = 13;
Chart.defaults.color = "#1d2733";
const labels = rows.map(row => row.organisation);
const series = (label, name, colour) => ({
    label, data: rows.map(row => row[name]), backgroundColor: colour, maxBarThickness: 22,
});
const draw = (id, datasets, stacked, unit) => new Chart(document.getElementById(id), {
    type: "bar",
    data: { labels, datasets },
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
draw("outcomes", [
    series("completed promptly", "prompt", "#1b7a4b"),
    series("completed after a delay", "delayed", "#8ccf9f"),
    series("refused, not run", "refused", "#e0a020"),
    series("failed", "failed", "#b3261e"),
    series("unknown", "unknown", "#5b3f8c"),
], true, "requests");
draw("shares", [
    series("received", "received", "#1f5fa8"),
    series("fair share", "fair", "#a9b4c0"),
], false, "per cent of the completed requests");
`;
