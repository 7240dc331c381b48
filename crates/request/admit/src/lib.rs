//! Admission of whole queries: ranks, tenants, deadlines and the adaptive window.
