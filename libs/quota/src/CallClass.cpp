#include "quota/CallClass.h"

namespace monsoonbay {

std::string_view textOf(CallClass callClass) noexcept
{
    constexpr std::array<std::string_view, callClassCount> texts{"small", "rank-0", "rank-1",
                                                                 "rank-2"};
    return texts[indexOf(callClass)];
}

} // namespace monsoonbay
