#include "settings/bounds_descriptors.h"

namespace appleramp {

namespace {

constexpr duration shortestBound = std::chrono::microseconds(1);
constexpr duration longestBound = std::chrono::hours(24);

duration time(const setting_value& v) { return std::get<duration>(v); }

double fraction(const setting_value& v) { return std::get<double>(v); }

setting_descriptor durationDescriptor(std::string_view key, std::string_view defaultValue, rounding rounding, std::string_view doc,
    void (*assign)(process_settings&, const setting_value&))
{
    return { .section = "bounds",
        .key = key,
        .type = setting_type::Duration,
        .unit = "milliseconds",
        .defaultValue = defaultValue,
        .minimum = shortestBound.count(),
        .maximum = longestBound.count(),
        .rounding = rounding,
        .roles = { process_role::DirectEntry, process_role::DirectAgent },
        .doc = doc,
        .assign = assign };
}

// A deployment may state that such a time is none.
setting_descriptor orZero(setting_descriptor descriptor)
{
    descriptor.minimum = 0;
    return descriptor;
}

setting_descriptor fractionDescriptor(std::string_view key, std::string_view defaultValue, std::string_view doc,
    void (*assign)(process_settings&, const setting_value&))
{
    return { .section = "bounds",
        .key = key,
        .type = setting_type::Fraction,
        .defaultValue = defaultValue,
        .minimum = 0,
        .maximum = 100'000'000,
        .roles = { process_role::DirectEntry, process_role::DirectAgent },
        .doc = doc,
        .assign = assign };
}

} // namespace

std::vector<setting_descriptor> boundsDescriptors()
{
    return {
        durationDescriptor("revocation_ms", "5000", rounding::Down, "A revoked key is not honoured later than this after the store's acknowledgement.",
            [](process_settings& s, const setting_value& v) { s.bounds.revocation = time(v); }),
        orZero(durationDescriptor("drain_ms", "2000", rounding::Down, "An endpoint that leaves gets no new work later than this.",
            [](process_settings& s, const setting_value& v) { s.bounds.drain = time(v); })),
        durationDescriptor("grace_ms", "8000", rounding::Down, "Time between SIGTERM and SIGKILL.",
            [](process_settings& s, const setting_value& v) { s.bounds.grace = time(v); }),
        orZero(durationDescriptor("stall_ms", "1500", rounding::Up, "A group of engines stalls for so long when one of its ranks is lost.",
            [](process_settings& s, const setting_value& v) { s.bounds.stall = time(v); })),
        durationDescriptor("repeat_window_ms", "10000", rounding::Up, "Window over which repeated sends are counted.",
            [](process_settings& s, const setting_value& v) { s.bounds.repeatWindow = time(v); }),
        durationDescriptor("pause_ms", "200", rounding::Down, "Longest pause of a stream that is still on time, where its route does not say.",
            [](process_settings& s, const setting_value& v) { s.bounds.pause = time(v); }),
        fractionDescriptor("repeat_ratio", "0.2", "Repeated sends to a service in a window, as a share of its requests, from all entries together.",
            [](process_settings& s, const setting_value& v) { s.bounds.repeatRatio = fraction(v); }),
        fractionDescriptor("repeat_constant", "90", "Repeated sends to a service in a window beside that share, from all entries together.",
            [](process_settings& s, const setting_value& v) { s.bounds.repeatConstant = fraction(v); }),
        fractionDescriptor("cold_factor", "1.5", "Requests in a second that a cold endpoint gets at most, as a multiple of its rate.",
            [](process_settings& s, const setting_value& v) { s.bounds.coldFactor = fraction(v); }),
        fractionDescriptor("cold_constant", "5", "Requests in a second that a cold endpoint gets beside that.",
            [](process_settings& s, const setting_value& v) { s.bounds.coldConstant = fraction(v); }),
    };
}

} // namespace appleramp
