package org.radishpost.store.http;

import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.VmEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a document of the platform that was cut anywhere is never taken for a whole one. */
public class CutDocumentTest {
  private static final byte[] PAYLOAD = "a record".getBytes(StandardCharsets.UTF_8);

  private final LogJson json = new LogJson();

  /** Decodes a document. */
  private interface Decoder {
    Object decode(byte[] bytes) throws IOException;
  }

  /** Returns the documents and their decoders. */
  @DataProvider
  public Object[][] documents() {
    LogRecord appended = new LogRecord(12, 34, PAYLOAD);
    VmEntry vm =
        new VmEntry(
            new VmId("vm-1"),
            Place.of("k", "k-a"),
            Endpoint.parse("127.0.0.1:1"),
            Endpoint.parse("127.0.0.1:2"),
            true);
    return new Object[][] {
      {
        "appended",
        json.encodeAppended(appended),
        (Decoder) bytes -> json.decodeAppended(bytes, PAYLOAD)
      },
      {
        "page",
        json.encodePage(new LogPage(List.of(appended), 1, 13, 34, 0)),
        (Decoder) json::decodePage
      },
      {"VMs", json.encodeVms(List.of(vm)), (Decoder) json::decodeVms},
    };
  }

  @Test(dataProvider = "documents")
  public void cutDocumentIsRejected(String name, byte[] whole, Decoder decoder) throws Exception {
    decoder.decode(whole);
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      expectThrows(IOException.class, () -> decoder.decode(cut));
    }
  }
}
