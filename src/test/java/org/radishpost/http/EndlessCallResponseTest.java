package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.Optional;
import org.radishpost.errors.RadishpostException;
import org.radishpost.platform.WireNames;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.Exceptions;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Tests that a call ends and its connection is closed, without the help of a timeout, when a target
 * sends bytes without end: they filled the memory of the VM and occupied its thread.
 */
public class EndlessCallResponseTest {
  private static final Duration UNUSED_TIMEOUT = Duration.ofSeconds(1);
  private static final int BUDGET_BYTES = 16 * 1024 * 1024;

  private final ByteBudget budget = new ByteBudget(BUDGET_BYTES);
  private final ResponseBuffering buffering = new ResponseBuffering(budget);
  private LoopResources loops;
  private HttpSender sender;

  /** Creates a sender whose time stands still. */
  @BeforeMethod
  public void start() {
    loops = LoopResources.create("endless-test", 1, true);
    sender =
        new HttpSender(
            new SenderOptions(
                "test",
                2,
                Duration.ofSeconds(5),
                Duration.ofSeconds(5),
                Optional.of(WireNames.REQUEST_ID),
                true),
            VirtualTimeScheduler.create(),
            loops);
  }

  /** Releases the threads. */
  @AfterMethod
  public void stop() {
    sender.close().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  /** Returns all responses that never end. */
  @DataProvider
  public Object[][] responses() {
    return EndlessResponses.all();
  }

  @Test(dataProvider = "responses")
  public void callWithoutEndIsEndedByLimits(EndlessResponse endless) throws Exception {
    try (EndlessServer server = new EndlessServer(endless, "")) {
      String outcome =
          sender
              .send(
                  server.address(),
                  RequestHead.get("/").withField(WireNames.REQUEST_ID, "this"),
                  CallBody.buffered(new byte[0]),
                  UNUSED_TIMEOUT)
              .flatMap(buffering::bufferIfSmall)
              .flatMapMany(Response::body)
              .doOnNext(ByteBuf::release)
              .then()
              .toFuture()
              .handle((done, error) -> describe(error))
              .get();
      assertEquals(outcome.equals("complete"), endless.startsWithCompleteResponse(), outcome);
      assertTrue(server.awaitSentBytes() < EndlessServer.MAX_BYTES);
      assertEquals(budget.heldBytes(), 0);
    }
  }

  private static String describe(Throwable error) {
    if (error == null) {
      return "complete";
    }
    Throwable cause = Exceptions.unwrap(error);
    assertTrue(cause instanceof RadishpostException, cause.toString());
    assertNotEquals(cause.getMessage(), "");
    return cause.toString();
  }
}
