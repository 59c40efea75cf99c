#include "entry/model_name_reader.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

using namespace appleramp;

Test(model_name_reader, finds_the_member_of_the_outermost_object)
{
    cr_assert(readModelName(R"({"model":"a"})") == "a");
    cr_assert(readModelName(R"({"x":{"model":"b"},"y":[{"model":"c"}],"model":"a","z":"d"})") == "a");
    cr_assert(readModelName(R"({"stream":true,"n":1.5,"model":"a","x":null})") == "a");
}

Test(model_name_reader, gives_nothing_for_other_texts)
{
    for (const char* text : { "", "nonsense", "[]", R"(["model"])", "3", R"("model")", "{}", R"({"model":3})",
             R"({"model":["a"]})", R"({"x":{"model":"a"}})", R"({"model":"a")", R"({"model":"a"} x)", "{\"model\":\"\xff\"}" })
        cr_assert(!readModelName(text), "%s", text);
}

Test(model_name_reader, deep_nesting_takes_little_memory)
{
    const rlimit limit { 256UL * 1024 * 1024, 256UL * 1024 * 1024 };
    cr_assert_eq(setrlimit(RLIMIT_AS, &limit), 0);
    std::string arrays = "{\"x\":";
    arrays.append(8UL * 1024 * 1024, '[');
    cr_assert(!readModelName(arrays));
    std::string wide = "{\"x\":[[]";
    for (int i = 0; i < 2'000'000; ++i)
        wide.append(",[]");
    cr_assert(readModelName(wide + "],\"model\":\"a\"}") == "a");
}
