#include "http/http_message.h"

#include <criterion/criterion.h>

using namespace appleramp;

Test(http_message, names_of_headers_compare_without_case)
{
    header_list headers;
    headers.add("Host", "a");
    cr_assert_eq(headers.get("hOST"), "a");
    headers.set("HOST", "b");
    cr_assert_eq(headers.fields().size(), 1);
}

Test(http_message, what_concerns_one_connection_is_dropped)
{
    header_list headers;
    headers.add("Connection", "close, X-Mine");
    headers.add("X-Mine", "1");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("Keep-Alive", "timeout=5");
    headers.add("X-Other", "2");
    headers.removeHopByHop();
    cr_assert_eq(headers.fields().size(), 1);
    cr_assert_eq(headers.get("X-Other"), "2");
}

Test(http_message, a_caller_can_not_make_the_host_disappear)
{
    header_list headers;
    headers.add("Connection", "Host");
    headers.add("Host", "a");
    headers.removeHopByHop();
    cr_assert_eq(headers.get("Host"), "a");
}

Test(http_message, queries_are_decoded)
{
    cr_assert_eq(queryParameter("/p?a=1&zone=tw%2Dx+y", "zone"), "tw-x y");
    cr_assert_eq(queryParameter("/p?a=1", "zone"), "");
    cr_assert_eq(queryParameter("/p", "a"), "");
    cr_assert_eq(percentEncoded("a/b c-1"), "a%2Fb%20c-1");
}

Test(http_message, a_request_without_a_body_has_no_length_where_none_is_due)
{
    http_request_head head;
    head.method = "GET";
    head.target = "/";
    cr_assert_eq(serializeRequest(head, {}), "GET / HTTP/1.1\r\n\r\n");
    head.method = "POST";
    cr_assert_eq(serializeRequest(head, {}), "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
}
