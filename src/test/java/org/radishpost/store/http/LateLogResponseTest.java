package org.radishpost.store.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.errors.AppendUnknownException;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.errors.VmListUnavailableException;
import org.radishpost.http.LateServer;
import org.radishpost.http.MalformedHeads;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.resources.ConnectionProvider;

/** Tests that a late response of the platform is never taken for the response to a later call. */
public class LateLogResponseTest {
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final byte[] BYTES = "a record".getBytes(StandardCharsets.UTF_8);

  private final AtomicInteger requests = new AtomicInteger();
  private ConnectionProvider connections;

  /** Creates a pool that never has more than one connection, so that it is reused if it can be. */
  @BeforeMethod
  public void createPool() {
    requests.set(0);
    connections = ConnectionProvider.create("late-log-test", 1);
  }

  /** Closes the connections. */
  @AfterMethod(alwaysRun = true)
  public void closePool() {
    connections.dispose();
  }

  /** Returns the answer to an append: the number of the request as the offset of the record. */
  private LateServer.Answer appended(String head) {
    int number = requests.incrementAndGet();
    return LateServer.Answer.repeated(
        LateServer.response("200 OK", "{\"offset\":" + number + ",\"timeMillis\":1}"));
  }

  /** An append that failed would look appended, at the offset of another record. */
  @Test
  public void lateResponseToAppendIsNotResponseToNextAppend() throws Exception {
    try (LateServer server = new LateServer(this::appended)) {
      HttpPlatformLog log = new HttpPlatformLog(connections, server.address(), LIMIT);
      assertEquals(log.append("a", BYTES).block().offset(), 1);
      assertEquals(log.append("b", BYTES).block().offset(), 2);
      assertEquals(log.append("a", BYTES).block().offset(), 3);
    }
  }

  /** Returns responses to an append whose head is malformed. */
  @DataProvider
  public Object[][] malformedHeads() {
    return MalformedHeads.rows(LateServer.response("200 OK", "{\"offset\":1,\"timeMillis\":1}"));
  }

  @Test(dataProvider = "malformedHeads")
  public void outcomeOfAppendWithMalformedResponseIsUnknown(String bytes) throws Exception {
    try (LateServer server = new LateServer(head -> LateServer.Answer.last(bytes))) {
      HttpPlatformLog log = new HttpPlatformLog(connections, server.address(), LIMIT);
      RuntimeException error =
          expectThrows(RuntimeException.class, () -> log.append("a", BYTES).block());
      assertEquals(Exceptions.unwrap(error).getClass(), AppendUnknownException.class);
    }
  }

  /** Returns a page without records, whose next offset is the number of the request. */
  private LateServer.Answer page(String head) {
    int number = requests.incrementAndGet();
    return LateServer.Answer.repeated(
        LateServer.response("200 OK", "{\"records\":[],\"nextOffset\":" + number + "}"));
  }

  /** The page of one stream would be taken for the page of another one. */
  @Test
  public void latePageOfOneStreamIsNotPageOfAnother() throws Exception {
    try (LateServer server = new LateServer(this::page)) {
      HttpPlatformLog log = new HttpPlatformLog(connections, server.address(), LIMIT);
      assertEquals(log.read("a", 1, 10, Duration.ZERO).block().nextOffset(), 1);
      assertEquals(log.read("b", 1, 10, Duration.ZERO).block().nextOffset(), 2);
    }
  }

  /** Returns documents, their reads, and the errors of reads that get another response behind. */
  @DataProvider
  public Object[][] documentsWithoutLength() {
    return new Object[][] {
      {
        "{\"offset\":1,\"timeMillis\":1}",
        (Read) server -> log(server).append("a", BYTES),
        AppendUnknownException.class
      },
      {
        "{\"records\":[],\"nextOffset\":1}",
        (Read) server -> log(server).read("a", 1, 10, Duration.ZERO),
        LogUnavailableException.class
      },
      {
        "{\"vms\":[]}",
        (Read) server -> new HttpVmList(connections, server.address(), LIMIT).read(),
        VmListUnavailableException.class
      },
    };
  }

  private HttpPlatformLog log(LateServer server) {
    return new HttpPlatformLog(connections, server.address(), LIMIT);
  }

  @Test(dataProvider = "documentsWithoutLength")
  public void documentBeforeSecondResponseIsError(
      String document, Read read, Class<? extends Exception> error) throws Exception {
    String whole = LateServer.responseWithoutLength("200 OK", document);
    String bytes = whole + LateServer.response("503 Busy", "");
    try (LateServer server = new LateServer(head -> LateServer.Answer.last(bytes))) {
      RuntimeException thrown =
          expectThrows(RuntimeException.class, () -> read.from(server).block());
      assertEquals(Exceptions.unwrap(thrown).getClass(), error);
    }
    try (LateServer server = new LateServer(head -> LateServer.Answer.last(whole))) {
      read.from(server).block();
    }
  }

  /** Reads something from a server. */
  private interface Read {
    Mono<?> from(LateServer server);
  }
}
