package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a response that is not HTTP/1.1 (RFC 9112) is never delivered, and that a valid one
 * is, however odd.
 */
public class MalformedResponseTest {
  private static final String LOST = "ConnectionLostException";
  private static final String FIELDS = "X-Request-Id: 1\r\nX-Signature: s\r\n";
  private static final String OK = "HTTP/1.1 200 OK\r\n" + FIELDS;
  private static final String BODY = "Content-Length: 5\r\n\r\nhello";
  private static final List<String> METHODS = List.of("GET", "HEAD", "POST");

  private SenderFixture fixture;

  /** Creates a sender with the options of an entry. */
  @BeforeClass
  public void createSender() {
    fixture = new SenderFixture("malformed-response-test");
  }

  /** Closes the connections and threads. */
  @AfterClass(alwaysRun = true)
  public void close() {
    fixture.close();
  }

  /** Returns status lines that the grammar does not allow, or whose status has no meaning. */
  @DataProvider
  public Object[][] malformedStatusLines() {
    return forEachMethod(
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 00000000200 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 200",
        "HTTP/1.1 200OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1  200 OK",
        " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1 ",
        "HTTP/1.1200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/11.1 200 OK",
        "HTTP/1.11 200 OK",
        "HTTP/1. 200 OK",
        "HTTP/1.x 200 OK",
        "http/1.1 200 OK",
        "HTTPS/1.1 200 OK",
        "ICY 200 OK",
        "200 OK");
  }

  /** The status of such a response was delivered, some as another number than was sent. */
  @Test(dataProvider = "malformedStatusLines")
  public void responseWithMalformedStatusLineIsNotDelivered(String method, String line)
      throws Exception {
    assertEquals(call(method, line + "\r\n" + FIELDS + BODY), LOST);
  }

  /** Returns lines that are not fields by the grammar, or that do not tell where the body ends. */
  @DataProvider
  public Object[][] malformedFieldLines() {
    return forEachMethod(
        "X A: v",
        "X\tA: v",
        "X-A : v",
        "X-A\t: v",
        " X-A: v",
        "\tX-A: v",
        " ",
        "X\u0001A: v",
        "\u0001X-A: v",
        "X-A\u0001: v",
        "X\0A: v",
        "\u007fX-A: v",
        "X-A\u000b: v",
        "X\rA: v",
        "X\nA: v",
        "X(A): v",
        "Xé: v",
        "X-A",
        ": v",
        "X-A: v\0w",
        "X-A: \u0001",
        "X-A: v\u001f",
        "X-A: v\u007fw",
        "X-A: v\rw",
        "X-A: v\nX-B: w",
        "Content-Length : 5",
        "Content-Length\t: 3",
        "Content-Length: 3",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Content-Length: -1",
        "Content-Length: 0x5",
        "Content-Length:",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: gzip, chunked");
  }

  /** Such a line was delivered, or was not believed when the end of the body was looked for. */
  @Test(dataProvider = "malformedFieldLines")
  public void responseWithMalformedFieldLineIsNotDelivered(String method, String line)
      throws Exception {
    assertEquals(call(method, OK + line + "\r\n" + BODY), LOST);
  }

  /** Returns fields that do not tell where the body ends, without another that does. */
  @DataProvider
  public Object[][] unclearLengths() {
    return forEachMethod(
        "Content-Length : 5",
        "Content-Length\t: 3",
        "Content Length: 5",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 4",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        "Transfer-Encoding: chunked, gzip");
  }

  /** The body was delivered cut, or with bytes that are not part of it. */
  @Test(dataProvider = "unclearLengths")
  public void responseOfUnclearLengthIsNotDelivered(String method, String fields) throws Exception {
    assertEquals(call(method, OK + fields + "\r\n\r\nhello"), LOST);
  }

  /** Returns chunks and trailers that the grammar does not allow. */
  @DataProvider
  public Object[][] malformedChunks() {
    return new Object[][] {
      {" 5\r\nhello\r\n0\r\n\r\n"},
      {"5 \r\nhello\r\n0\r\n\r\n"},
      {"+5\r\nhello\r\n0\r\n\r\n"},
      {"-5\r\nhello\r\n0\r\n\r\n"},
      {"0x5\r\nhello\r\n0\r\n\r\n"},
      {"5x\r\nhello\r\n0\r\n\r\n"},
      {"5 5\r\nhello\r\n0\r\n\r\n"},
      {"\r\n5\r\nhello\r\n0\r\n\r\n"},
      {";a\r\nhello\r\n0\r\n\r\n"},
      {"5\nhello\r\n0\r\n\r\n"},
      {"5\u0001\r\nhello\r\n0\r\n\r\n"},
      {"5;a=\u0001\r\nhello\r\n0\r\n\r\n"},
      {"0000000000000005\r\nhello\r\n0\r\n\r\n"},
      {"3\r\nhello\r\n0\r\n\r\n"},
      {"5\r\nhello0\r\n\r\n"},
      {"5\r\nhello\r\n\r\n0\r\n\r\n"},
      {"5\r\nhello\r\n \r\n\r\n"},
      {"5\r\nhello\r\n0\r\nX A: v\r\n\r\n"},
      {"5\r\nhello\r\n0\r\nX-A : v\r\n\r\n"},
      {"5\r\nhello\r\n0\r\n X-A: v\r\n\r\n"},
      {"5\r\nhello\r\n0\r\nX-A\r\n\r\n"},
      {"5\r\nhello\r\n0\r\nX\u0001A: v\r\n\r\n"},
      {"5\r\nhello\r\n0\r\nX-A: v\0\r\n\r\n"},
      {"5\r\nhello\r\n0\r\nX-A: v\rw\r\n\r\n"},
      {"5\r\nhello\r\n0\r\nX-A: v\n\r\n"},
    };
  }

  @Test(dataProvider = "malformedChunks")
  public void responseWithMalformedChunksIsNotDelivered(String chunks) throws Exception {
    assertEquals(call("GET", OK + "Transfer-Encoding: chunked\r\n\r\n" + chunks), LOST);
  }

  /** Returns responses that are valid, however odd, and the text that is delivered. */
  @DataProvider
  public Object[][] validResponses() {
    return new Object[][] {
      {OK + BODY, "200 hello"},
      {"HTTP/1.1 200 \r\n" + FIELDS + BODY, "200 hello"},
      {"HTTP/1.1 200 \tAll is éÿ well  \r\n" + FIELDS + BODY, "200 hello"},
      {"HTTP/1.0 200 OK\r\n" + FIELDS + BODY, "200 hello"},
      {"HTTP/1.2 200 OK\r\n" + FIELDS + BODY, "200 hello"},
      {"HTTP/1.1 299 Odd\r\n" + FIELDS + BODY, "299 hello"},
      {"HTTP/1.1 599 Odd\r\n" + FIELDS + BODY, "599 hello"},
      {"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 199 \r\n\r\n" + OK + BODY, "200 hello"},
      {"HTTP/1.1 100 \r\n\r\n" + OK + BODY, "200 hello"},
      {"HTTP/1.1 204 None\r\n" + FIELDS + "\r\n", "204 "},
      {"HTTP/1.1 304 Same\r\n" + FIELDS + "Content-Length: 5\r\n\r\n", "304 "},
      {OK + "!#$%&'*+-.^_`|~09azAZ: v\r\n" + BODY, "200 hello"},
      {OK + "X-A:\r\nX-B: \t \r\nX-C:v\r\nX-D:\tv\tw \t\r\n" + BODY, "200 hello"},
      {OK + "X-A: \u0080éÿ : ; \"=,\r\n" + BODY, "200 hello"},
      {OK + "content-LENGTH:\t5 \r\n\r\nhello", "200 hello"},
      {OK + "\r\nhello", "200 hello"},
      {OK + "Transfer-Encoding: gzip\r\n\r\nhello", "200 hello"},
      {OK + "Transfer-Encoding: gzip, Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "200 hello"},
      {OK + "Transfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "200 hello"},
      {
        OK
            + "Transfer-Encoding: chunked\r\n\r\n"
            + "03;a=\"b\"\r\nhel\r\n0002 ; c\r\nlo\r\n000\r\nX-Sum: \t9ÿ\r\n\r\n",
        "200 hello"
      },
    };
  }

  @Test(dataProvider = "validResponses")
  public void validResponseIsDelivered(String response, String delivered) throws Exception {
    assertEquals(call("GET", response), delivered);
  }

  private static Object[][] forEachMethod(String... texts) {
    return Arrays.stream(texts)
        .flatMap(text -> METHODS.stream().map(method -> new Object[] {method, text}))
        .toArray(Object[][]::new);
  }

  /** Returns what is delivered of a response, after which the target closes the connection. */
  private String call(String method, String response) throws Exception {
    RequestHead get = RequestHead.get("/a").withField("x-request-id", "1");
    RequestHead head = new RequestHead(method, get.target(), get.headers());
    try (ScriptedTarget target = new ScriptedTarget(response + ScriptedTarget.THEN_CLOSE)) {
      return fixture.call(target.address(), head);
    }
  }
}
