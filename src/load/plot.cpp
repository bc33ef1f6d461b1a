#include "load/plot.h"

#include <fstream>
#include <stdexcept>

namespace auburnspread::load
{

namespace
{

auto openFile(const std::string &name) -> std::ofstream
{
    std::ofstream file(name);
    if (!file) {
        throw std::runtime_error("plot: " + name + " cannot be written");
    }
    return file;
}

/// One block of lines a flow; gnuplot selects a block by its index.
auto writeData(const RunReport &report, std::ostream &out) -> void
{
    for (const auto &[flow, points] : report.timeline) {
        out << "# " << flow << ": second offered good refused\n";
        for (std::size_t second = 0; second < points.size(); ++second) {
            out << second << ' ' << points[second].offered << ' ' << points[second].good << ' ' << points[second].refused << '\n';
        }
        out << "\n\n";
    }
}

auto writeScript(const RunReport &report, const std::string &svgFile, const std::string &dataFile, std::ostream &out) -> void
{
    constexpr int Width = 900;
    constexpr int HeightPerFlow = 220;
    out << "set terminal svg size " << Width << ',' << HeightPerFlow * report.timeline.size() << " background 'white'\n";
    out << "set output '" << svgFile << "'\n";
    out << "set multiplot layout " << report.timeline.size() << ",1 title '" << report.scenario << ", policy " << report.policy << "'\n";
    out << "set xlabel 'second of arrival'\nset ylabel 'calls'\nset yrange [0:*]\nset key outside\n";
    std::size_t index = 0;
    for (const auto &[flow, points] : report.timeline) {
        out << "set title '" << flow << "' noenhanced\n";
        out << "plot '" << dataFile << "' index " << index << " using 1:2 with steps title 'offered', '' index " << index
            << " using 1:3 with steps title 'good', '' index " << index << " using 1:4 with steps title 'refused'\n";
        ++index;
    }
    out << "unset multiplot\n";
}

} // namespace

auto writePlot(const RunReport &report, const std::string &svgFile) -> void
{
    const std::string stem = svgFile.ends_with(".svg") ? svgFile.substr(0, svgFile.size() - std::string(".svg").size()) : svgFile;
    auto data = openFile(stem + ".dat");
    writeData(report, data);
    auto script = openFile(stem + ".gp");
    writeScript(report, svgFile, stem + ".dat", script);
}

} // namespace auburnspread::load
