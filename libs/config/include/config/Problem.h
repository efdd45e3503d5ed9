#pragma once

#include <compare>
#include <string>

namespace monsoonbay {

/** One thing wrong with a document: where (JSON pointer), what, and what to do about it. */
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
