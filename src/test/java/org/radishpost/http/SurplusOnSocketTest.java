package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests on sockets that two requests in a row get their own responses, or fail at once, whatever
 * the target sends between them.
 */
public class SurplusOnSocketTest {
  private static final String FIRST = response("200 OK", "1", "first");
  private static final String COPY = response("200 OK", "1", "copy");
  private static final String COPY_WITHOUT_ID = COPY.replace("X-Request-Id: 1\r\n", "");
  private static final String COPY_WITHOUT_LENGTH = COPY.replace("Content-Length: 4\r\n", "");
  private static final String OWN = response("500 Failed", "2", "own");
  private static final String LOST = "ConnectionLostException";

  private SenderFixture fixture;

  /** Creates a sender with the options of an entry. */
  @BeforeMethod
  public void createSender() {
    fixture = new SenderFixture("surplus-on-socket-test");
  }

  /** Closes the connections and threads. */
  @AfterMethod
  public void close() {
    fixture.close();
  }

  private static String response(String status, String id, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\nX-Request-Id: "
        + id
        + "\r\n"
        + ("Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Returns what the target sends for each request, and the result of the second one. */
  @DataProvider
  public Object[][] targets() {
    return new Object[][] {
      {new Row("nothing", "500 own", FIRST, OWN)},
      {new Row("a copy in the segment of the first", "500 own", FIRST + COPY, OWN)},
      {new Row("a copy before the second", "500 own", FIRST, COPY + OWN)},
      {new Row("a copy some time before the second", "500 own", FIRST, COPY + "<pause>" + OWN)},
      {new Row("half of a head in the segment of the first", "500 own", FIRST + "HTTP/1.1 2", OWN)},
      {
        new Row("a head in two segments", "500 own", FIRST, "HTTP<pause>" + COPY.substring(4) + OWN)
      },
      {new Row("a refusal behind the first", "500 own", FIRST + "HTTP/1.1 503 F\r\n\r\n", OWN)},
      {new Row("a copy without an ID", LOST, FIRST, COPY_WITHOUT_ID + OWN)},
      {new Row("a copy without a length", LOST, FIRST, COPY_WITHOUT_LENGTH + OWN)},
      {new Row("a copy that is cut in its status line", LOST, FIRST, "HTTP/1.1 200 O" + OWN)},
      {new Row("a copy that is cut in its head", LOST, FIRST, COPY.substring(0, 30) + OWN)},
      {
        new Row(
            "a copy that is cut in its body",
            LOST,
            FIRST,
            response("200 OK", "1", "x".repeat(99)).substring(0, 80) + OWN)
      },
    };
  }

  @Test(dataProvider = "targets")
  public void secondRequestNeverGetsSurplusOfFirst(Row row) throws Exception {
    for (String method : List.of("GET", "POST")) {
      assertEquals(results(row, method), List.of("200 first", row.expected()), method);
    }
  }

  private List<String> results(Row row, String method) throws Exception {
    List<String> results = new ArrayList<>();
    try (ScriptedTarget target = new ScriptedTarget(row.sent())) {
      results.add(call(target, method, "1"));
      results.add(call(target, method, "2"));
    }
    return results;
  }

  private String call(ScriptedTarget target, String method, String id) throws Exception {
    RequestHead get = RequestHead.get("/a").withField("x-request-id", id);
    return fixture.call(target.address(), new RequestHead(method, get.target(), get.headers()));
  }

  /**
   * A target.
   *
   * @param name says what it sends besides the two responses
   * @param expected the result of the second request
   * @param sent what it sends for each request, as {@link ScriptedTarget} takes it
   */
  private record Row(String name, String expected, String... sent) {
    @Override
    public String toString() {
      return name;
    }
  }
}
