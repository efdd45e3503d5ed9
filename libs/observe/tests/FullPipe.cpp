#include <array>
#include <string>

#include <criterion/criterion.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include "BoundedSink.h"

using namespace monsoonbay;

namespace {

struct Pipe
{
    Pipe()
    {
        cr_assert_eq(::pipe(this->ends.data()), 0);
    }

    ~Pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string readAll()
    {
        std::array<char, 1 << 17> space{};
        const ssize_t length = ::read(this->ends[0], space.data(), space.size());
        return length > 0 ? std::string(space.data(), static_cast<std::size_t>(length)) : "";
    }

    std::array<int, 2> ends{};
};

} // namespace

// Guards against a daemon that blocks while nobody reads its log: standard output is a pipe, and
// once it was full, the next line blocked the serving thread. This test fails by hanging.
Test(full_pipe, lines_are_dropped_and_counted_not_waited_for)
{
    Pipe pipe;
    spdlog::logger logger("test", std::make_shared<BoundedSink>(pipe.ends[1]));
    logger.set_pattern("%v");
    constexpr int lines = 5000;
    const std::string text(100, 'x');
    for (int line = 0; line < lines; ++line)
        logger.info(text);
    const std::string first = pipe.readAll();
    const auto written = first.size() / (text.size() + 1);
    cr_assert_lt(written, lines);
    cr_assert_gt(written, 0);
    logger.info("after");
    const std::string next = pipe.readAll();
    cr_assert(next.starts_with(R"({"name":"lines-dropped","lines":")"
                               + std::to_string(lines - written) + "\""),
              "%s", next.c_str());
    cr_assert(next.ends_with("after\n"));
}
