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

/** The gate that lets the rest of a body follow once, when a target has the call. */
public class CallBodyTest {
  private static final int BOUND = 4;

  @Test
  public void bodyUpToTheBoundIsWhole() {
    assertTrue(body("").empty());
    assertTrue(body("abcd").isWhole());
    assertTrue(body("ab", "cd").isWhole());
    assertFalse(body("ab", "cde").isWhole());
    assertFalse(body("abcd", "e").isWhole());
  }

  @Test
  public void restFollowsWhenTaken() {
    CallBody body = body("ab", "cde", "f");
    StepVerifier.create(body.stream().map(CallBodyTest::text))
        .expectNext("abcde")
        .then(() -> assertFalse(body.stream().blockFirst().isDirect()))
        .then(body::take)
        .expectNext("f")
        .verifyComplete();
  }

  @Test
  public void usedBodyIsNeitherMovedNorSentAgain() {
    CallBody body = body("abcde", "f");
    assertTrue(body.canMove());
    body.take();
    assertEquals(body.stream().map(CallBodyTest::text).collectList().block().size(), 2);
    assertFalse(body.canMove());
    StepVerifier.create(body.stream().map(CallBodyTest::text))
        .expectNext("abcde")
        .verifyError(RequestBodyException.class);
  }

  @Test
  public void failureWhileWaitingComesAfterTheFirstPart() {
    TestPublisher<ByteBuf> source = TestPublisher.createCold();
    source.next(part("abcde")).error(new IllegalStateException());
    CallBody body = CallBody.read(source.flux(), BOUND).block();
    body.take();
    StepVerifier.create(body.stream().map(CallBodyTest::text))
        .expectNext("abcde")
        .verifyError(IllegalStateException.class);
  }

  @Test
  public void droppedBodyIsNotReadOn() {
    for (boolean taken : new boolean[] {false, true}) {
      TestPublisher<ByteBuf> source = TestPublisher.create();
      CallBody[] body = new CallBody[1];
      CallBody.read(source.flux(), BOUND).subscribe(read -> body[0] = read);
      source.next(part("abcde"));
      if (taken) {
        body[0].take();
      }
      body[0].drop();
      source.assertCancelled();
    }
  }

  @Test
  public void readerAsksForNoMoreThanItsTakerWants() {
    TestPublisher<ByteBuf> source = TestPublisher.create();
    CallBody[] body = new CallBody[1];
    CallBody.read(source.flux(), BOUND).subscribe(read -> body[0] = read);
    source.next(part("abcde"));
    body[0].take();
    StepVerifier.create(body[0].stream().map(CallBodyTest::text), 1)
        .expectNext("abcde")
        .then(() -> source.assertMaxRequested(1))
        .thenCancel()
        .verify();
  }

  private static CallBody body(String... parts) {
    return CallBody.read(Flux.fromArray(parts).map(CallBodyTest::part), BOUND).block();
  }

  private static ByteBuf part(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static String text(ByteBuf part) {
    return part.toString(StandardCharsets.US_ASCII);
  }
}
