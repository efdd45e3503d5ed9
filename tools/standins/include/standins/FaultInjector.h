#pragma once

#include <map>
#include <string>

namespace monsoonbay::standins {

/** The faults to inject, by kind, and how many more times each is injected. */
class FaultInjector
{
public:
    /**
     * Injects a fault the next `times` times; a negative number means always, 0 turns it off. What
     * `parameter` means depends on the kind: milliseconds of a delay, or a number of records.
     */
    void set(const std::string &kind, int times, int parameter)
    {
        this->faults[kind] = Entry{times, parameter};
    }

    /** True if the fault is to be injected now; uses up one of its times. */
    bool shouldInject(const std::string &kind)
    {
        const auto found = this->faults.find(kind);
        if (found == this->faults.end() || found->second.times == 0)
            return false;
        if (found->second.times > 0)
            --found->second.times;
        return true;
    }

    /** The parameter of the fault, or 0 if it was never set. */
    int parameter(const std::string &kind) const
    {
        const auto found = this->faults.find(kind);
        return found == this->faults.end() ? 0 : found->second.parameter;
    }

private:
    struct Entry
    {
        int times = 0;
        int parameter = 0;
    };
    std::map<std::string, Entry> faults;
};

} // namespace monsoonbay::standins
