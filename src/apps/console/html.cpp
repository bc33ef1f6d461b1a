#include "apps/console/html.h"

namespace auburnspread::console
{

auto escapeHtml(std::string_view text) -> std::string
{
    auto escaped = std::string();
    escaped.reserve(text.size());
    for (const auto character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        case '\'':
            escaped += "&#39;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

auto renderPage(std::string_view title, std::string_view body, std::string_view head) -> std::string
{
    auto page = std::string("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" content=\"width=device-width\">");
    page += "<title>" + escapeHtml(title) + " - auburnspread</title><link rel=\"stylesheet\" href=\"/style.css\">";
    page += head;
    page += "</head><body><header><a href=\"/\">Status</a> <a href=\"/draft\">Edit the configuration</a></header><main><h1>" + escapeHtml(title) + "</h1>";
    page += body;
    page += "</main></body></html>\n";
    return page;
}

auto styleSheet() -> std::string_view
{
    return "body{font:16px/1.4 sans-serif;margin:0 auto;max-width:70em;padding:1em}"
           "label{display:block;font-weight:bold;margin-top:.8em}"
           "input[type=text],textarea{font:inherit;width:100%;max-width:40em;box-sizing:border-box}"
           "small{display:block;color:#444}"
           "fieldset{margin:.8em 0}"
           ".error{color:#a00000;display:block}"
           "[aria-invalid=true]{border:2px solid #a00000}"
           "table{border-collapse:collapse}td,th{border:1px solid #888;padding:.2em .6em;text-align:left;vertical-align:top}"
           "nav button,.actions button{margin:.2em}"
           ":focus{outline:3px solid #0050c0}";
}

} // namespace auburnspread::console
