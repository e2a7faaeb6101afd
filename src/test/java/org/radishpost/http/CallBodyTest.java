package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.radishpost.errors.RequestBodyException;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.test.StepVerifier;
import reactor.test.publisher.TestPublisher;

/**
 * Tests that the remainder of a body is sent once, and only after a target has accepted the call.
 */
public class CallBodyTest {
  private static final int PREFIX_BYTES = 4;

  @Test
  public void bodyUpToPrefixLimitIsBuffered() {
    assertTrue(body("").isEmpty());
    assertTrue(body("abcd").isBuffered());
    assertTrue(body("ab", "cd").isBuffered());
    assertFalse(body("ab", "cde").isBuffered());
    assertFalse(body("abcd", "e").isBuffered());
  }

  @Test
  public void remainderIsSentOnceAllowed() {
    CallBody body = body("ab", "cde", "f");
    StepVerifier.create(body.stream().map(CallBodyTest::text))
        .expectNext("abcde")
        .then(() -> assertFalse(body.stream().blockFirst().isDirect()))
        .then(body::allowRemainder)
        .expectNext("f")
        .verifyComplete();
  }

  @Test
  public void consumedBodyIsNeitherReroutedNorResent() {
    CallBody body = body("abcde", "f");
    assertTrue(body.canReroute());
    body.allowRemainder();
    assertEquals(body.stream().map(CallBodyTest::text).collectList().block().size(), 2);
    assertFalse(body.canReroute());
    StepVerifier.create(body.stream().map(CallBodyTest::text))
        .expectNext("abcde")
        .verifyError(RequestBodyException.class);
  }

  @Test
  public void failureBeforeRemainderIsAllowedFollowsPrefix() {
    TestPublisher<ByteBuf> source = TestPublisher.createCold();
    source.next(part("abcde")).error(new IllegalStateException());
    CallBody body = CallBody.read(source.flux(), PREFIX_BYTES).block();
    body.allowRemainder();
    StepVerifier.create(body.stream().map(CallBodyTest::text))
        .expectNext("abcde")
        .verifyError(IllegalStateException.class);
  }

  @Test
  public void cancelledBodyIsNotReadFurther() {
    for (boolean remainderAllowed : new boolean[] {false, true}) {
      TestPublisher<ByteBuf> source = TestPublisher.create();
      CallBody[] body = new CallBody[1];
      CallBody.read(source.flux(), PREFIX_BYTES).subscribe(read -> body[0] = read);
      source.next(part("abcde"));
      if (remainderAllowed) {
        body[0].allowRemainder();
      }
      body[0].cancelUnread();
      source.assertCancelled();
    }
  }

  @Test
  public void readerRequestsNoMoreThanDownstream() {
    TestPublisher<ByteBuf> source = TestPublisher.create();
    CallBody[] body = new CallBody[1];
    CallBody.read(source.flux(), PREFIX_BYTES).subscribe(read -> body[0] = read);
    source.next(part("abcde"));
    body[0].allowRemainder();
    StepVerifier.create(body[0].stream().map(CallBodyTest::text), 1)
        .expectNext("abcde")
        .then(() -> source.assertMaxRequested(1))
        .thenCancel()
        .verify();
  }

  private static CallBody body(String... parts) {
    return CallBody.read(Flux.fromArray(parts).map(CallBodyTest::part), PREFIX_BYTES).block();
  }

  private static ByteBuf part(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static String text(ByteBuf part) {
    return part.toString(StandardCharsets.US_ASCII);
  }
}
