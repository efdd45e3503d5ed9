#pragma once

#include <compare>
#include <string>

namespace monsoonbay {

/** A problem in a document: its place (JSON pointer), what is wrong, and how to correct it. */
struct Problem
{
    std::string path;
    std::string problem;
    std::string remedy;

    auto operator<=>(const Problem &) const = default;

    /** "file:path: problem; remedy" */
    std::string text(const std::string &file) const
    {
        return file + ":" + this->path + ": " + this->problem + "; " + this->remedy;
    }
};

} // namespace monsoonbay
