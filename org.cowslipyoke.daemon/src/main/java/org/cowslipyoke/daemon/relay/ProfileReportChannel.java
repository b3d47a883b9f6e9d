package org.cowslipyoke.daemon.relay;

import java.util.List;
import org.cowslipyoke.relay.profile.LearnedEngineProfiles;
import org.cowslipyoke.transport.LoadReportCodec;
import org.cowslipyoke.transport.ProfileDigestCodec;
import org.cowslipyoke.util.MalformedResponseException;

/** Exchanges digests of learned engine profiles with the other entries. */
public final class ProfileReportChannel implements PeerReportChannel {

  private final LearnedEngineProfiles profiles;

  /** Creates the channel of an entry. */
  public ProfileReportChannel(LearnedEngineProfiles profiles) {
    this.profiles = profiles;
  }

  @Override
  public boolean isReport(byte[] bytes, int length) {
    return ProfileDigestCodec.isDigest(bytes, length);
  }

  @Override
  public void accept(byte[] bytes, int length) throws MalformedResponseException {
    profiles.accept(ProfileDigestCodec.decode(bytes, length));
  }

  @Override
  public List<byte[]> takeDue() {
    return profiles.takeDigest().map(ProfileDigestCodec::encode).stream()
        .filter(b -> b.length <= LoadReportCodec.MAX_BYTES)
        .toList();
  }
}
