#pragma once

#include <mutex>
#include <utility>

namespace monsoonbay {

/** A value accessible only under its own lock; never hold two locks, nor one across I/O. */
template <typename T> class Guarded
{
public:
    Guarded() = default;

    explicit Guarded(T value)
        : value(std::move(value))
    { }

    template <typename Use> decltype(auto) with(Use use)
    {
        const std::lock_guard guard(this->mutex);
        return use(this->value);
    }

    template <typename Use> decltype(auto) with(Use use) const
    {
        const std::lock_guard guard(this->mutex);
        return use(static_cast<const T &>(this->value));
    }

private:
    mutable std::mutex mutex;
    T value;
};

} // namespace monsoonbay
