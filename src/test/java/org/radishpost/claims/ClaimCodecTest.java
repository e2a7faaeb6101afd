package org.radishpost.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;
import org.testng.annotations.Test;

/** Tests encoding and decoding of claim records, malformed records and home regions. */
public class ClaimCodecTest {
  private static final ClaimRequest REQUEST =
      new ClaimRequest(
          Digest.of("key"),
          Digest.of("attempt"),
          1_800_000_000_000L,
          Set.of(),
          Optional.of(Digest.of("request")));

  @Test
  public void entriesSurviveEncodingAndDecoding() {
    ClaimOutcome outcome = new ClaimOutcome(201, "text/plain", new byte[0]);
    List<ClaimEntry> entries = List.of(ClaimEntry.claim(REQUEST), ClaimEntry.withdrawal(REQUEST));
    assertEquals(ClaimCodec.decode(ClaimCodec.encode(entries)), Optional.of(entries));
    ClaimEntry.Completion completion = ClaimEntry.completion(REQUEST, outcome);
    byte[] payload = ClaimCodec.encode(List.of(completion));
    ClaimEntry decoded = ClaimCodec.decode(payload).orElseThrow().getFirst();
    assertEquals(((ClaimEntry.Completion) decoded).outcome().contentType(), "text/plain");
    assertTrue(payload.length <= ClaimCodec.maxEncodedBytes(completion));
  }

  @Test
  public void malformedRecordsAreNotDecoded() {
    byte[] payload = ClaimCodec.encode(List.of(ClaimEntry.claim(REQUEST)));
    for (int length = 0; length < payload.length; length++) {
      assertEquals(ClaimCodec.decode(Arrays.copyOf(payload, length)), Optional.empty());
    }
    assertEquals(ClaimCodec.decode(Arrays.copyOf(payload, payload.length + 1)), Optional.empty());
  }

  @Test
  public void requestDigestIsNotRecordedForHomeRegions() {
    ClaimRequest home =
        new ClaimRequest(
            REQUEST.key(),
            REQUEST.attempt(),
            REQUEST.keyTimeMillis(),
            Set.of(new RegionName("kelet")),
            REQUEST.requestDigest());
    assertEquals(ClaimEntry.claim(home).requestDigestPrefix(), 0L);
  }
}
