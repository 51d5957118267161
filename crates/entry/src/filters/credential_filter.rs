use {
    crate::{
        data::{EntryCore, RequestDraft},
        filters::{FilterResult, RequestFilter, filter_chain::refused},
    },
    base::FailureReason,
    futures_util::future::LocalBoxFuture,
    std::rc::Rc,
};

/// Refuses requests with an unknown customer or a wrong credential.
pub struct CredentialFilter;

impl RequestFilter for CredentialFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult> {
        Box::pin(async move {
            let credential = &draft.head.credential;
            if has_valid_credential(&draft.sheet, &draft.head.customer, credential) {
                return Ok(draft);
            }
            core.metrics.count("refused.credential", 1);
            let detail = "customer unknown or credential wrong";
            refused(draft.refuse(FailureReason::BadCredential, detail))
        })
    }
}

/// Returns true if the credential belongs to the customer. The digests are compared in constant
/// time.
pub fn has_valid_credential(sheet: &sheet::FleetSheet, customer: &str, credential: &str) -> bool {
    let digest = blake3::hash(credential.as_bytes());
    let Some(customer) = sheet.customers.get(customer) else {
        return false;
    };
    blake3::Hash::from_hex(&customer.credential).is_ok_and(|expected| expected == digest)
}
