#include "settings/settings.h"

#include "fuzz/byte_mutator.h"
#include "settings/settings_error.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <sstream>
#include <string>
#include <vector>

using namespace appleramp;

namespace {

constexpr int mutantsPerSeed = 2000;
constexpr rlim_t maxAddressSpaceBytes = 512UL * 1024 * 1024;

const std::vector<std::string> corpus = {
    "[process]\nrole = entry\ninstance = e1\navailability_zone = a\n[listen]\ncallers = 127.0.0.1:1\n"
    "operations = 127.0.0.1:2\nlinks = 127.0.0.1:3\n[platform]\ntable_url = http://127.0.0.1:4\n"
    "objects_url = http://127.0.0.1:5\ninstances_url = http://127.0.0.1:6\npoll_interval_ms = 100\n",
    "; agent\n[process]\nrole = agent\ninstance = a1\navailability_zone = a\n[listen]\noperations = 127.0.0.1:2\n"
    "links = 127.0.0.1:3\n[platform]\ntable_url = http://127.0.0.1:4\nobjects_url = http://127.0.0.1:5\n"
    "instances_url = http://127.0.0.1:6\n[endpoint]\nid = x\nkind = service\nurl = http://127.0.0.1:7\n"
    "services = orders, invoices\ncapacity = 4\n",
};

const std::vector<std::string> fragments
    = { "\n[", "]\n", "=", "\n", ";", "${", "99999999999999999999", "-1", std::string(1, '\0'), "[process]\n", ":" };

// Returns whether the text is accepted. An exception other than settings_error fails the test.
bool isAccepted(const std::string& text)
{
    try {
        std::istringstream input(text);
        parseSettings(input, "fuzz.ini");
        return true;
    } catch (const settings_error& problem) {
        cr_assert_eq(problem.file(), "fuzz.ini");
        return false;
    }
}

void limitMemory()
{
    const rlimit limit { maxAddressSpaceBytes, maxAddressSpaceBytes };
    cr_assert_eq(setrlimit(RLIMIT_AS, &limit), 0);
}

} // namespace

Test(settings_fuzz, the_corpus_is_accepted)
{
    for (const std::string& text : corpus)
        cr_assert(isAccepted(text));
}

Test(settings_fuzz, mutated_files_are_accepted_or_give_a_typed_error)
{
    limitMemory();
    int rejected = 0;
    for (const std::uint64_t seed : { 1, 2, 3, 20261203 }) {
        byte_mutator mutator(seed, fragments);
        for (int i = 0; i < mutantsPerSeed; ++i)
            rejected += isAccepted(mutator.mutate(corpus[mutator.below(corpus.size())])) ? 0 : 1;
    }
    cr_assert_gt(rejected, mutantsPerSeed, "more than a quarter of the mutants must be rejected; otherwise they do not reach the checks");
}

Test(settings_fuzz, random_bytes_give_a_typed_error)
{
    limitMemory();
    byte_mutator mutator(4, fragments);
    for (int i = 0; i < mutantsPerSeed; ++i)
        cr_assert(!isAccepted(mutator.randomBytes(512)));
}

Test(settings_fuzz, a_file_without_end_is_refused_in_bounded_memory)
{
    limitMemory();
    cr_assert_throw(loadSettings("/dev/zero"), settings_error);
}
